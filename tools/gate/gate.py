#!/usr/bin/env python3
"""What a day is judged by, read from entries of the bench's journal.

    tools/gate/gate.py journal/20261203T*.json
    tools/gate/gate.py --since ENTRY     # those after this one, by its id
    tools/gate/gate.py --since REV       # those that aren't in that commit

Prints for each day each broken rule, each fault and each line "short of the
gate" (a team, class or data centre that got too little of what the others
got), with the command that plays the day again. A run that gave up days, or
that didn't finish, is listed too: nothing is known of what it left out.

Exit status 0 if there were entries and nothing is listed, else 1.
"""

import argparse
import json
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
JOURNAL = "journal"
OPTIONS_LEFT_OUT = {"--why", "--report", "--jobs", "--days"}  # With a value.
DRAWN_DAYS = ("fresh-", "hunt-")


def findings_of_day(day):
    """The lines that say what is wrong with a day."""
    out = [f"rule {rule} broken {count} times"
           for rule, count in sorted((day.get("rules") or {}).items())]
    fault = day.get("fault")
    if fault:
        out.append(f"fault: {fault}")
    out += [f"short: {it}" for it in day.get("short") or []
            if it != f"fault: {fault}"]
    if not out and not day.get("gate", False):
        out.append("gate failed, no reason named")
    return out


def findings_of_run(entry):
    """The lines that say what is wrong with a run as a whole."""
    out = []
    if not entry.get("ok", False) or entry.get("error"):
        out.append(f"run failed: {entry.get('error') or 'no reason named'}")
    if entry.get("days_left_out"):
        out.append(f"{entry['days_left_out']} days left out")
    if entry.get("ok", False) and not entry.get("days"):
        out.append("no day was played")
    gate = (entry.get("figures") or {}).get("gate", 1)
    if gate < 1 and all(it.get("gate") for it in entry.get("days", [])):
        out.append("gate failed, though no day did")
    return out


def without_notes(argv):
    """Arguments without those that don't change what is played."""
    out, rest = [], iter(argv)
    for it in rest:
        if it in OPTIONS_LEFT_OUT:
            next(rest, None)
        elif it.split("=")[0] not in OPTIONS_LEFT_OUT:
            out.append(it)
    return out


def site_of(entry, argv):
    sites = [it for it in argv if it.endswith(".toml")]
    named = [it for it in sites if pathlib.Path(it).stem == entry.get("site")]
    return (named or sites or ["SITE"])[0]


def replay_command(entry, day):
    """Plays the day again; the journal shortens folders to "..."."""
    argv = without_notes(entry.get("argv", []))
    verb, arguments = entry.get("cmd", "run"), argv
    if verb in ("score", "hunt", "incident"):
        # The bench keeps incidents and days that it drew; the names of others
        # are arguments of a run.
        kept = verb == "incident" or day["name"].startswith(DRAWN_DAYS)
        verb = "replay" if kept else "run"
        arguments = [site_of(entry, argv), *shlex.split(day["name"])]
        arguments += ["--no-cpu"] if "--no-cpu" in argv else []
    return "fleetbench " + shlex.join([verb, *arguments])


def smallest(values):
    known = [it for it in values or [] if it is not None]
    return f"{min(known):.2f}" if known else "-"


def report(entry):
    """Lines about the entry; none if nothing is wrong with it."""
    name = f"{entry.get('id', '?')} {entry.get('site') or 'no site'}"
    out = [f"{name}: {it}" for it in findings_of_run(entry)]
    for day in entry.get("days", []):
        found = findings_of_day(day)
        if not found:
            continue
        out.append(f"{name} {day['name']}, seed {day.get('seed')}: served "
                   f"{day.get('served')}; worth of the last class "
                   f"{smallest(day.get('by_class'))}, data centre "
                   f"{smallest(day.get('by_zone'))}")
        out += [f"  {it}" for it in found]
        out.append(f"  {replay_command(entry, day)}")
    return out


def read(path):
    """The entry, or the reason why it can't be read, as a failed run."""
    try:
        entry = json.loads(path.read_text(encoding="utf-8"))
        if isinstance(entry, dict) and isinstance(entry.get("days"), list):
            return entry
        reason = "not an entry of the journal"
    except (OSError, ValueError) as failure:
        reason = str(failure)
    return {"id": path.name, "ok": False, "error": reason, "days": []}


def entries_since(start, root=ROOT):
    """Paths of the entries after an entry, or of those not in a commit."""
    paths = sorted((root / JOURNAL).glob("*.json"))
    named = [it for it in paths if it.stem.split("-")[-1] == start]
    if named:
        return [it for it in paths if it.name > named[0].name]
    listed = subprocess.run(
        ["git", "-C", str(root), "ls-tree", "-r", "--name-only", start,
         "--", JOURNAL], capture_output=True, text=True, check=False)
    if listed.returncode != 0:
        raise SystemExit(f"--since {start}: no such entry, nor a commit")
    known = {pathlib.PurePath(it).name for it in listed.stdout.splitlines()}
    return [it for it in paths if it.name not in known]


def main(argv=None, out=sys.stdout):
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("entries", nargs="*", type=pathlib.Path)
    parser.add_argument("--since", metavar="ENTRY|REV")
    args = parser.parse_args(argv)
    paths = args.entries + (entries_since(args.since) if args.since else [])
    entries = [read(it) for it in paths]
    lines = [line for it in entries for line in report(it)]
    for line in lines:
        print(line, file=out)
    days = sum(len(it["days"]) for it in entries)
    print(f"{len(entries)} entries, {days} days, "
          f"{'something' if lines else 'nothing'} found", file=out)
    return 1 if lines or not entries else 0


if __name__ == "__main__":
    sys.exit(main())
