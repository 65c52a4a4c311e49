"""Tests of gate.py: python3 tools/gate/gate_test.py"""

import io
import json
import pathlib
import subprocess
import tempfile
import unittest

import gate


def day(**fields):
    return {"name": "quiet-1", "seed": 7, "rules": {}, "fault": None,
            "gate": True, "short": [], "served": 0.9,
            "by_class": [0.8, None], "by_zone": [0.7, 0.6], **fields}


def entry(*days, **fields):
    return {"id": "ab12", "cmd": "run", "site": "site-a", "ok": True,
            "error": None, "days_left_out": 0, "figures": {},
            "argv": [".../site-a.toml", "quiet-1", "--why", "a reason"],
            "days": list(days), **fields}


class GateTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.root = pathlib.Path(self.folder.name)
        (self.root / "journal").mkdir()

    def write(self, content, name="20260101T000000-ab12"):
        path = self.root / "journal" / f"{name}.json"
        path.write_text(json.dumps(content))
        return str(path)

    def judge(self, *contents):
        paths = [self.write(it, f"20260101T00000{i}-ab1{i}")
                 for i, it in enumerate(contents)]
        out = io.StringIO()
        return gate.main(paths, out), out.getvalue()

    def assert_found(self, text, content):
        status, got = self.judge(entry(day()), content)
        self.assertEqual(1, status)
        self.assertIn(text, got)

    def test_a_day_that_kept_all_passes(self):
        status, got = self.judge(entry(day(), day()))
        self.assertEqual(0, status)
        self.assertEqual("1 entries, 2 days, nothing found\n", got)

    # Guards against a starved team that stays unseen since no rule broke.
    def test_a_short_line_without_a_broken_rule_fails(self):
        line = "of tenant a's requests 0.23 were served, of all 0.96"
        for judged in (True, False):
            self.assert_found(f"short: {line}",
                              entry(day(short=[line], gate=judged)))

    def test_a_broken_rule_fails(self):
        self.assert_found("rule ORDER broken 2 times",
                          entry(day(rules={"ORDER": 2})))

    def test_a_fault_fails_and_is_listed_once(self):
        content = entry(day(fault="crash loop", short=["fault: crash loop"]))
        self.assert_found("fault: crash loop", content)
        self.assertEqual(1, self.judge(content)[1].count("crash loop"))

    def test_each_day_of_an_entry_counts(self):
        content = entry(day(), day(), day(name="scale-1", short=["a", "b"]))
        for line in ("scale-1, seed 7", "short: a", "short: b"):
            self.assert_found(line, content)

    def test_a_failed_gate_without_a_reason_fails(self):
        self.assert_found("no reason named", entry(day(gate=False)))
        self.assert_found("though no day did",
                          entry(day(), figures={"gate": 0.0}))
        missing = day()
        del missing["gate"]
        self.assert_found("no reason named", entry(missing))

    # Guards against a run that judged nothing and passes for a good one.
    def test_what_was_not_played_fails(self):
        self.assert_found("run failed: it stopped",
                          entry(ok=False, error="it stopped"))
        self.assert_found("1 days left out", entry(day(), days_left_out=1))
        self.assert_found("no day was played", entry())
        self.assert_found("not an entry", [])
        self.assertEqual(1, gate.main([], io.StringIO()))

    def test_a_file_that_cannot_be_read_fails(self):
        path = self.root / "journal" / "x.json"
        for text in ("{", None):
            if text:
                path.write_text(text)
            else:
                path.unlink()
            self.assertEqual(1, gate.main([str(path)], io.StringIO()))

    def test_the_weakest_class_and_data_centre_are_named(self):
        self.assert_found("last class 0.80, data centre 0.60",
                          entry(day(short=["a"])))


class ReplayTest(unittest.TestCase):
    def command(self, cmd, name, argv):
        return gate.replay_command(entry(cmd=cmd, argv=argv), day(name=name))

    def test_a_run_is_played_with_its_own_arguments(self):
        argv = ["site-a.toml", "my day.toml", "--seed", "5", "--no-cpu",
                "--jobs", "2", "--why", "a b", "--report=f"]
        self.assertEqual(
            "fleetbench run site-a.toml 'my day.toml' --seed 5 --no-cpu",
            self.command("run", "my day", argv))

    def test_a_day_of_a_score_is_run_and_a_drawn_one_replayed(self):
        argv = ["site-b.toml", "site-a.toml", "--no-cpu", "--why", "a"]
        self.assertEqual("fleetbench run site-a.toml scale-1 --no-cpu",
                         self.command("score", "scale-1", argv))
        self.assertEqual("fleetbench replay site-a.toml fresh-1 --no-cpu",
                         self.command("score", "fresh-1", argv))

    def test_hunted_days_are_run_or_replayed(self):
        argv = ["site-a.toml", "--days", "40"]
        self.assertEqual("fleetbench replay site-a.toml hunt-1-2",
                         self.command("hunt", "hunt-1-2", argv))
        for name in ("scale-1 --seed 4", "days/a.toml --vary --seed 4"):
            self.assertEqual(f"fleetbench run site-a.toml {name}",
                             self.command("hunt", name, argv))

    def test_an_incident_is_replayed(self):
        self.assertEqual("fleetbench replay site-a.toml inc1",
                         self.command("incident", "inc1",
                                      ["site-a.toml", "text", "inc1"]))


class SinceTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.root = pathlib.Path(self.folder.name)
        (self.root / "journal").mkdir()
        for name in ("1-aa", "2-bb"):
            self.add(name)

    def add(self, name):
        (self.root / "journal" / f"{name}.json").write_text("{}")

    def since(self, start):
        return [it.stem for it in gate.entries_since(start, self.root)]

    def git(self, *arguments):
        subprocess.run(
            ["git", "-C", str(self.root), "-c", "user.name=a",
             "-c", "user.email=a@b.example", *arguments], check=True,
            capture_output=True)

    def test_entries_after_an_entry(self):
        self.assertEqual(["2-bb"], self.since("aa"))
        self.assertEqual([], self.since("bb"))

    def test_entries_that_a_commit_lacks(self):
        self.git("init", "-q")
        self.git("add", ".")
        self.git("commit", "-q", "-m", "first")
        self.add("0-cc")
        self.assertEqual(["0-cc"], self.since("HEAD"))

    def test_what_is_neither_is_refused(self):
        with self.assertRaises(SystemExit):
            self.since("zz")


if __name__ == "__main__":
    unittest.main()
