#!/usr/bin/env python3
"""Checks the tests: applies deliberate bugs and shows that a test fails.

Each entry of mutants.toml is a small bug: a text in one file and what
replaces it. The tracked files are copied to a folder of their own, the
entries are applied there one by one, only the test programs that the entry
names are built, and they have to fail. A mutant counts as caught only when
the same test fails in two runs, so that a test that fails now and then
proves nothing; the tests must pass without a mutant first.

Exit code 0: every mutant was caught; 1: one survived or was caught by chance
only; 2: the list does not fit the sources.
"""

import argparse
import hashlib
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIST = ROOT / "tools/mutants/mutants.toml"
PAGE = ROOT / "docs/MUTANTS.md"
TEST_SECONDS = 60
FAILED_TEST = re.compile(r"Failure in (?:IGNORE_)?TEST\((\w+), (\w+)\)")


class BadList(Exception):
    """An entry that does not fit the sources."""


def run(command, folder, seconds=3600):
    """Runs a command; returns (exit code or None on time-out, output)."""
    try:
        done = subprocess.run(
            command, cwd=folder, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, timeout=seconds, check=False)
        return done.returncode, done.stdout.decode(errors="replace")
    except subprocess.TimeoutExpired as late:
        return None, (late.stdout or b"").decode(errors="replace")


def copy_tree(target):
    """Copies tracked and new files; leaves equal ones alone, for ninja."""
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT,
        stdout=subprocess.PIPE, check=True, text=True).stdout.splitlines()
    wanted = {name for name in listed if (ROOT / name).is_file()}
    for old in target.rglob("*"):
        if old.is_file() and str(old.relative_to(target)) not in wanted:
            old.unlink()
    for name in sorted(wanted):
        source, copy = ROOT / name, target / name
        if copy.exists() and copy.read_bytes() == source.read_bytes():
            continue
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, copy)


class Bench:
    """A copy of the tree with its build folder."""

    def __init__(self, folder, jobs):
        self.tree = folder / "tree"
        self.build = folder / "build"
        self.jobs = jobs
        self.tree.mkdir(parents=True, exist_ok=True)
        copy_tree(self.tree)
        code, text = run(
            ["cmake", "-S", self.tree, "-B", self.build, "-G", "Ninja",
             "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache"], ROOT)
        if code != 0:
            raise BadList(text)

    def make(self, tests):
        return run(["ninja", "-C", self.build, "-j", str(self.jobs)] +
                   [f"test_{name}" for name in tests], ROOT)

    def failures(self, test):
        """What fails in one run of a test program."""
        program = self.build / "libs" / test / f"test_{test}"
        code, text = run([program], self.tree, TEST_SECONDS)
        if code == 0:
            return set()
        found = {f"{group}.{name}" for group, name in
                 FAILED_TEST.findall(text)}
        if found:
            return found
        if code is None:
            return {f"{test}: does not end"}
        why = re.search(r"Assertion `(.{0,60})", text)
        return {f"{test}: assertion {why.group(1)}" if why
                else f"{test}: stops with code {code}"}

    def caught_by(self, tests):
        """Failures that show in two runs."""
        found = []
        for test in tests:
            first = self.failures(test)
            if first:
                found += sorted(first & self.failures(test))
        return found


def check_entries(entries):
    """Every searched text must be there exactly once."""
    faults = []
    names = [it["name"] for it in entries]
    for it in entries:
        path = ROOT / it["file"]
        count = path.read_text().count(it["search"]) if path.exists() else 0
        if count != 1:
            faults.append(f"{it['name']}: text found {count} times "
                          f"in {it['file']}")
        if names.count(it["name"]) > 1:
            faults.append(f"{it['name']}: name given twice")
    if faults:
        raise BadList("\n".join(faults))


def try_mutant(bench, entry):
    """Returns (verdict, what caught it)."""
    path = bench.tree / entry["file"]
    original = path.read_text()
    path.write_text(original.replace(entry["search"], entry["replace"]))
    try:
        code, text = bench.make(entry["tests"])
        if code != 0:
            return "does not build", text.splitlines()[-15:]
        caught = bench.caught_by(entry["tests"])
        return ("caught" if caught else "survived"), caught
    finally:
        path.write_text(original)


class Results:
    """Verdicts so far, kept on disk for --resume."""

    def __init__(self, path, resume):
        self.path = path
        self.all = {}
        if resume and path.exists():
            self.all = json.loads(path.read_text())

    @staticmethod
    def name(entry):
        """Changes with the entry and with the file that it changes."""
        content = json.dumps(entry) + (ROOT / entry["file"]).read_text()
        return hashlib.sha256(content.encode()).hexdigest()

    def get(self, entry):
        return self.all.get(self.name(entry))

    def put(self, entry, verdict, caught_by):
        self.all[self.name(entry)] = [verdict, caught_by]
        self.path.write_text(json.dumps(self.all, indent=1))


def cell(text):
    return text.replace("|", "\\|").replace("\n", " ")


def write_page(rows):
    """Writes docs/MUTANTS.md."""
    caught = sum(verdict == "caught" for _, verdict, _ in rows)
    lines = [
        "# Mutants: deliberate bugs and the tests that catch them", "",
        "Written by `make mutants`, which applies each bug of "
        "`tools/mutants/mutants.toml` to a copy of the tree, builds",
        "the test programs that the entry names and runs them. A bug counts "
        "as caught when the same test fails in two runs;",
        "without a bug all of these tests pass (checked first). "
        f"{caught} of {len(rows)} bugs were caught.", "",
        "| bug | what users would meet | file | verdict | caught by |",
        "| --- | --- | --- | --- | --- |"]
    for entry, verdict, caught_by in rows:
        shown = caught_by[:2]
        more = len(caught_by) - len(shown)
        text = ", ".join(f"`{cell(it)}`" for it in shown)
        if more > 0:
            text += f" and {more} more"
        lines.append(f"| {entry['name']} | {cell(entry['harm'])} | "
                     f"`{entry['file']}` | {verdict} | {text} |")
    PAGE.write_text("\n".join(lines) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="",
                        help="names of entries, by comma; writes no page")
    parser.add_argument("--resume", action="store_true",
                        help="keep verdicts of entries whose file is the "
                             "same as in an earlier run")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--folder", default=str(ROOT / "build-mutants"))
    options = parser.parse_args()
    entries = tomllib.loads(LIST.read_text())["mutant"]
    check_entries(entries)
    if options.only:
        only = options.only.split(",")
        entries = [it for it in entries if it["name"] in only]
    bench = Bench(pathlib.Path(options.folder), options.jobs)
    tests = sorted({test for it in entries for test in it["tests"]})
    code, text = bench.make(tests)
    if code != 0:
        raise BadList(text[-3000:])
    broken = [name for test in tests for name in bench.failures(test)]
    # A test that fails without a bug, now and then, can't tell anything.
    broken = [it for it in broken
              if any(it in bench.failures(test) for test in tests)]
    if broken:
        raise BadList("fail without a bug: " + ", ".join(broken))
    rows = []
    results = Results(pathlib.Path(options.folder) / "results.json",
                      options.resume)
    for entry in entries:
        verdict, caught_by = results.get(entry) or try_mutant(bench, entry)
        results.put(entry, verdict, caught_by)
        rows.append((entry, verdict, caught_by))
        print(f"{verdict:14} {entry['name']}: {', '.join(caught_by[:2])}",
              flush=True)
    if not options.only:
        write_page(rows)
    if any(verdict == "does not build" for _, verdict, _ in rows):
        return 2
    return 0 if all(verdict == "caught" for _, verdict, _ in rows) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except BadList as bad:
        print(bad, file=sys.stderr)
        sys.exit(2)
