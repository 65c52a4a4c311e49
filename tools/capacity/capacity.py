#!/usr/bin/env python3
"""Measures how costs grow, fits slopes and writes docs/CAPACITY.md.

Every figure of the page is put in by this script: runs of `fennelladder
bench` at four sizes or more give points, a least-squares line gives a slope
with its residual, and the slopes give the costs at the size to design for.
The page's text is page.md beside this script; `{name}` in it is a figure.
A bench that the binary does not have leaves "not measured" in the page.

Points are kept in docs/capacity/measured.json with their commits; --only
takes those of some benches anew.
"""

import argparse
import json
import os
import pathlib
import platform
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDER = ROOT / "docs/capacity"
MEASURED = FOLDER / "measured.json"
TEMPLATE = ROOT / "tools/capacity/page.md"
PAGE = ROOT / "docs/CAPACITY.md"
BINARY = ROOT / "build/fennelladder"
MISSING = "not measured"

# The size to design for.
NODES = 340
WORKERS = 600
REQUESTS = 4200          # a second
TOKENS = 1.1e6           # a second
BUDGETS = 350_000
DATA_CENTERS = 6
CHANGES_A_DAY = 320
TOKEN_SECONDS = 0.059    # between tokens
MEMORY_LIMIT = 64e6      # bytes for control, a node
CORE_LIMIT = 0.035
BYTES_LIMIT = 2048       # a second and node
PLATFORM_WRITES = 300    # several hundred a second; we count on three
PLATFORM_READS = 2000
HOST_LIST_SECONDS = 2    # a node looks at the host list, node.cpp
SHARDS = 16              # default of the journal
KEY_SECONDS = 600        # default retention of request keys
HOUR = 3600


def bench(*words):
    """JSON of one bench, or None when there is no such bench."""
    command = [str(BINARY), "bench", *words, "--format", "json"]
    print("run: fennelladder " + " ".join(command[1:]), flush=True)
    done = subprocess.run(command, stdout=subprocess.PIPE,
                          stderr=subprocess.PIPE, check=False, text=True)
    try:
        return json.loads(done.stdout)
    except json.JSONDecodeError:
        print(f"  no result: {done.stderr.splitlines()[:1]}", flush=True)
        return None


class Series:
    """Points of one cost over one size."""

    def __init__(self, table, name, size, unit, command):
        self.points = []
        table[name] = {"size": size, "unit": unit,
                       "command": "fennelladder bench " + command,
                       "points": self.points}

    def add(self, x, y):
        self.points.append([x, y])


def measure_control(table):
    command = "control --nodes 8,32,128,340"
    rows = bench(*command.split())
    if not rows:
        return {}
    wanted = [("control_bytes", "control_bytes_per_node_second", "bytes/s"),
              ("control_core", "core_share_per_node", "cores"),
              ("control_memory", "memory_bytes_per_node", "bytes"),
              ("platform_calls", "platform_calls_per_second", "calls/s"),
              ("platform_writes", "platform_writes_per_second", "writes/s"),
              ("engine_reads", "engine_reads_per_second", "reads/s")]
    for name, field, unit in wanted:
        series = Series(table, name, "nodes", unit, command)
        for row in rows:
            series.add(row["nodes"], row[field])
    series = Series(table, "restart_bytes", "nodes", "bytes/s", command)
    for row in rows:
        series.add(row["nodes"],
                   row["restart_every_10_s_per_node_second"]["sent_bytes"])
    series = Series(table, "config_seconds", "nodes", "s", command)
    for row in rows:
        series.add(row["nodes"], row["config_in_force_seconds"]["longest"])
    full = rows[-1]
    quiet = full["quiet_per_node_second"]
    return {"quiet_messages": quiet["sent_messages"],
            "wire_bytes": quiet["sent_bytes_with_estimated_wire_overhead"],
            "silent_death_s":
                full["silent_host_out_of_answers_seconds"]["longest"],
            "refused_death_s":
                full["refusing_host_out_of_answers_seconds"]["longest"],
            "draining_s": full["draining_out_of_answers_seconds"]["longest"],
            "config_without_platform_s":
                full["config_in_force_without_platform_seconds"]["longest"],
            "join_s": full["join_seconds"],
            "entry_busiest": full["entry_busiest_over_mean"]}


def measure_config(table):
    found = bench("config")
    if not found:
        return {}
    wanted = [("config_memory", "node_memory_bytes", "bytes"),
              ("config_start_bytes", "node_start_bytes", "bytes"),
              ("config_start_seconds", "node_start_seconds", "s"),
              ("config_change_bytes", "change_node_bytes", "bytes"),
              ("config_parse_seconds", "parse_seconds", "s")]
    for name, field, unit in wanted:
        series = Series(table, name, "budgets", unit, "config")
        for row in found["by_size"]:
            series.add(row["budgets"], row[field])
    calls = Series(table, "change_calls", "nodes", "calls", "config")
    polls = Series(table, "config_polls", "nodes", "calls/s", "config")
    extra = {}
    for row in found["by_fleet"]:
        if row["case"] == "all is well":
            calls.add(row["nodes"], row["platform_calls_for_change"])
            polls.add(row["nodes"], row["platform_polls_per_second"])
        if row["nodes"] == NODES:
            key = "in_force_" + row["case"].replace(" ", "_").replace(",", "")
            extra[key] = row["in_force_seconds"]
    return extra


def measure_journal(table):
    writes = Series(table, "journal_writes", "records/s", "writes/s",
                    "journal --records N (flush 100 ms)")
    volume = Series(table, "journal_bytes", "records/s", "bytes/s",
                    "journal --records N (flush 100 ms)")
    by_shards = Series(table, "journal_writes_by_shards", "shards",
                       "writes/s", "journal --shards N (flush 100 ms)")
    extra = {}
    for records in (525, 1050, 2100, 4200):
        found = bench("journal", "--records", str(records))
        if not found:
            return {}
        row = journal_row(found)
        writes.add(records, row["writes_per_second"])
        volume.add(records, row["bytes_written_per_second"])
        if records == REQUESTS:
            extra = {"journal_p50_ms": row["latency_ms_p50"],
                     "journal_p99_ms": row["latency_ms_p99"],
                     "append_ns": found["cost"][-2]["append_ns_per_record"],
                     "fold_ns":
                         found["cost"][-2]["decode_and_fold_ns_per_record"],
                     "record_bytes": found["cost"][-2]["bytes_per_record"]}
            measure_recovery(table, found["recovery"])
    for shards in (8, 16, 32, 64):
        row = journal_row(bench("journal", "--shards", str(shards)))
        by_shards.add(shards, row["writes_per_second"])
    return extra


def journal_row(found):
    return next(it for it in found["groups"]
                if it["way"] == "journal" and it["flush_ms"] == 100)


def measure_recovery(table, rows):
    budgets = Series(table, "recovery_ms", "budgets", "ms", "journal")
    volume = Series(table, "recovery_bytes", "budgets", "bytes", "journal")
    for row in rows:
        if row["segments"] == 16 and row["budgets"] != 20000:
            budgets.add(row["budgets"], row["ms"])
            volume.add(row["budgets"], row["bytes_read"])


def measure_requests(table):
    found = bench("requests", "--requests", "20000")
    if not found:
        return {}
    keys = Series(table, "key_memory", "keys", "bytes", "requests")
    for row in found["memory"]:
        if "text" not in row:
            keys.add(row["keys"], row["keys"] * row["bytes_per_key"])
    return {"request_ns": found["requests"][0]["ns_per_request"],
            "suspect_bytes": found["suspects"]["bytes_per_record"]}


def measure_reserve(table):
    series = Series(table, "reserve_ns", "budgets", "ns",
                    "reserve --budgets N --threads 1")
    for budgets in (1000, 10000, 100000, BUDGETS):
        found = bench("reserve", "--budgets", str(budgets), "--rounds",
                      "1000000", "--threads", "1")
        if not found:
            return {}
        series.add(budgets, found[0]["ns_per_reserve_and_settle"])
    return {}


def measure_history(table):
    found = bench("history")
    if not found:
        return {}
    series = Series(table, "history_check", "lines", "s", "history")
    for row in found:
        series.add(row["lines"], row["check_seconds"])
    return {"history_lines": found[-1]["lines"],
            "history_seconds": found[-1]["check_seconds"]}


def measure_budgets(table):
    writes = Series(table, "budget_writes", "budgets", "writes/s",
                    "budgets --fleet large --large-budgets N")
    volume = Series(table, "budget_bytes", "budgets", "bytes/s",
                    "budgets --fleet large --large-budgets N")
    extra = {}
    for budgets in (4375, 8750, 17500, 35000):
        found = bench("budgets", "--fleet", "large", "--large-budgets",
                      str(budgets), "--large-seconds", "60")
        if not found:
            return {}
        row = found[0]["escrow"]
        writes.add(budgets, row["platform_writes_per_second"])
        volume.add(budgets, row["bytes_per_node_second"])
        extra = {"budget_overspent": row["overspent_tokens"],
                 "budget_double_billed": row["double_billed"],
                 "false_refusals": row["false_refusals_per_million"],
                 "stranded": row["stranded_tokens"],
                 "budget_scenario": found[0]["scenario"],
                 "budget_requests": found[0]["requests"]}
    return extra


STEPS = {
    "control": measure_control,
    "config": measure_config,
    "journal": measure_journal,
    "requests": measure_requests,
    "reserve": measure_reserve,
    "history": measure_history,
    "budgets": measure_budgets,
}


def current_commit():
    done = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT,
                          stdout=subprocess.PIPE, check=True, text=True)
    return done.stdout.strip()


def measure(names, measured):
    """Takes the named steps' points anew and keeps the rest."""
    for name in names:
        table = {}
        measured["single"].update(STEPS[name](table))
        for series, it in table.items():
            if it["points"]:
                it["commit"] = current_commit()
                measured["series"][series] = it
        MEASURED.write_text(json.dumps(measured, indent=1) + "\n")
    processor = re.search(r"model name\s*: (.*)",
                          pathlib.Path("/proc/cpuinfo").read_text())
    measured["machine"] = (
        f"{os.cpu_count()} cores of "
        f"{processor.group(1) if processor else platform.machine()}, "
        f"load average {os.getloadavg()[0]:.1f} at the end")
    MEASURED.write_text(json.dumps(measured, indent=1) + "\n")


def fit(points):
    """Least-squares line: start, slope, R squared, largest residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    rest = [y - start - slope * x for x, y in points]
    total = sum((y - mean_y) ** 2 for _, y in points)
    squared = 1 - sum(it * it for it in rest) / total if total > 0 else 1.0
    largest = max(abs(it) for it in rest) / max(abs(y) for _, y in points)
    return {"start": start, "slope": slope, "r2": squared, "residual": largest}


def short(value, digits=3):
    """A number for people."""
    if value is None:
        return MISSING
    if isinstance(value, str):
        return value
    if value != 0 and (abs(value) >= 1e6 or abs(value) < 1e-3):
        return f"{value:.{digits - 1}e}"
    if abs(value) >= 100:
        return f"{float(f'{value:.{digits}g}'):,.0f}"
    return f"{value:.{digits}g}"


def slope_table(series, fits):
    lines = ["| cost | over | points | start | slope | R² | "
             "largest residual | measured by | at commit |",
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for name, it in series.items():
        points = ", ".join(f"{short(x)}: {short(y)}" for x, y in it["points"])
        line = fits[name]
        lines.append(
            f"| {name} ({it['unit']}) | {it['size']} | {points} | "
            f"{short(line['start'])} | {short(line['slope'])} | "
            f"{line['r2']:.3f} | {100 * line['residual']:.0f} % of the "
            f"largest | `{it['command']}` | {it['commit']} |")
    return "\n".join(lines)


class Model:
    """What the slopes say at a size; None where a slope is missing."""

    def __init__(self, measured):
        self.series = measured["series"]
        self.single = measured["single"]
        self.fits = {name: fit(it["points"])
                     for name, it in self.series.items()}

    def at(self, name, size):
        """The cost at a size: the measured point, or else the line."""
        if name not in self.fits:
            return None
        for x, y in self.series[name]["points"]:
            if x == size:
                return y
        line = self.fits[name]
        return line["start"] + line["slope"] * size

    def size_where(self, name, limit):
        """The size at which the line meets a limit."""
        line = self.fits.get(name)
        if not line or line["slope"] <= 0:
            return None
        return (limit - line["start"]) / line["slope"]

    def get(self, name):
        return self.single.get(name)


def times(*factors):
    if any(it is None for it in factors):
        return None
    product = 1
    for it in factors:
        product *= it
    return product


def plus(*terms):
    return None if any(it is None for it in terms) else sum(terms)


def derive(model):
    """Named figures of the page."""
    per_node = REQUESTS / NODES
    keys_line = model.fits.get("key_memory")
    key_bytes = keys_line["slope"] if keys_line else None
    streams = TOKENS * TOKEN_SECONDS / NODES
    keys = per_node * KEY_SECONDS
    config = model.at("config_memory", BUDGETS)
    control = model.at("control_memory", NODES)
    key_memory = times(keys, key_bytes)
    total = plus(config, control, key_memory)
    shard_records = REQUESTS / SHARDS
    outage_keys = times(per_node * HOUR, key_bytes)
    reserve = model.at("reserve_ns", BUDGETS)
    request = model.get("request_ns")
    request_cpu = times(per_node, plus(request, reserve or 0), 1e-9)
    busiest = plus(config, control, outage_keys)
    budgets_limit = None
    if total is not None and model.size_where("config_memory", 1):
        room = MEMORY_LIMIT - control - key_memory
        budgets_limit = model.size_where("config_memory", room)
    polls = model.at("config_polls", NODES)
    host_lists = NODES / HOST_LIST_SECONDS
    reads_limit = None
    if polls is not None:
        reads_limit = PLATFORM_READS / (polls + host_lists) * NODES
    return {
        "streams": streams,
        "config_polls": polls,
        "host_lists": host_lists,
        "reads_limit": reads_limit,
        "requests_per_node": per_node,
        "keys": keys,
        "key_bytes": key_bytes,
        "key_memory_mb": times(key_memory, 1e-6),
        "config_memory_mb": times(config, 1e-6),
        "control_memory_mb": times(control, 1e-6),
        "total_memory_mb": times(total, 1e-6),
        "outage_keys_mb": times(outage_keys, 1e-6),
        "outage_memory_mb": times(busiest, 1e-6),
        "control_core_percent": times(model.at("control_core", NODES), 100),
        "control_bytes": model.at("control_bytes", NODES),
        "request_us": times(request, 1e-3),
        "reserve_ns": reserve,
        "request_core_percent": times(request_cpu, 100),
        "shard_records": shard_records,
        "shard_writes": times(model.at("journal_writes", REQUESTS),
                              1 / SHARDS),
        "shard_core_percent": times(shard_records, model.get("append_ns"),
                                    1e-7),
        "shard_budgets": BUDGETS / SHARDS,
        "shard_recovery_ms": model.at("recovery_ms", BUDGETS / SHARDS),
        "shard_recovery_kb": times(
            model.at("recovery_bytes", BUDGETS / SHARDS), 1e-3),
        "journal_writes": model.at("journal_writes", REQUESTS),
        "journal_kb": times(model.at("journal_bytes", REQUESTS), 1e-3),
        "platform_writes": model.at("platform_writes", NODES),
        "platform_calls": model.at("platform_calls", NODES),
        "engine_reads": model.at("engine_reads", NODES),
        "change_calls": model.at("change_calls", NODES),
        "change_kb": times(model.at("config_change_bytes", BUDGETS), 1e-3),
        "config_seconds": model.at("config_seconds", NODES),
        "parse_s": model.at("config_parse_seconds", BUDGETS),
        "start_mb": times(model.at("config_start_bytes", BUDGETS), 1e-6),
        "start_s": model.at("config_start_seconds", BUDGETS),
        "starts_mb_a_day": times(model.at("config_start_bytes", BUDGETS),
                                 66e-6),
        "restart_bytes": model.at("restart_bytes", NODES),
        "budget_writes": model.at("budget_writes", 35000),
        "budget_bytes": model.at("budget_bytes", 35000),
        "budgets_limit": budgets_limit,
        "nodes_limit_memory": model.size_where("control_memory", MEMORY_LIMIT),
        "nodes_limit_core": model.size_where("control_core", CORE_LIMIT),
        "nodes_limit_bytes": model.size_where("control_bytes", BYTES_LIMIT),
        "shards_limit": model.size_where("journal_writes_by_shards",
                                         PLATFORM_WRITES),
        "cut_streams": 9 * streams,
        "cut_share": 9 * streams / (REQUESTS * 86400),
        "dc_nodes": NODES / DATA_CENTERS,
        "dc_streams": streams * NODES / DATA_CENTERS,
        "changes_a_day": CHANGES_A_DAY,
        **model.single,
    }


# Charts: file, title, x axis, y axis, series.
CHARTS = [
    ("control", "Control of a node", "nodes", "bytes/s and node",
     ["control_bytes"]),
    ("configuration", "Configuration held by a node", "budgets", "bytes",
     ["config_memory", "config_start_bytes"]),
    ("journal", "Platform writes of the journal", "records/s", "writes/s",
     ["journal_writes"]),
    ("keys", "Memory of remembered request keys", "keys", "bytes",
     ["key_memory"]),
]


def draw(model):
    """Draws each chart as SVG: points, and the fitted line."""
    for name, title, x_name, y_name, wanted in CHARTS:
        present = [it for it in wanted if it in model.fits]
        if not present:
            continue
        plots, data = [], []
        for it in present:
            line = model.fits[it]
            block = "\n".join(f"{x} {y}" for x, y in
                              model.series[it]["points"])
            data.append(f"${it} << EOD\n{block}\nEOD")
            plots.append(f"${it} with points pt 7 title '{it}'")
            plots.append(f"{line['start']} + {line['slope']} * x "
                         f"with lines title 'fit'")
        script = "\n".join(data) + f"""
set terminal svg size 640,400 background rgb 'white'
set output '{FOLDER / (name + ".svg")}'
set title '{title}'
set xlabel '{x_name}'
set ylabel '{y_name}'
set key left top noenhanced
set xrange [0:*]
set yrange [0:*]
plot {", ".join(plots)}
"""
        subprocess.run(["gnuplot"], input=script, text=True, check=True)


def write_page(measured, model):
    figures = {name: short(value) for name, value in derive(model).items()}
    figures["slopes"] = slope_table(model.series, model.fits)
    figures["machine"] = measured["machine"]
    text = re.sub(r"\{(\w+)\}",
                  lambda it: figures.get(it.group(1), MISSING),
                  TEMPLATE.read_text())
    PAGE.write_text(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default=",".join(STEPS),
                        help="benches to run, by comma; the points of the "
                             "others stay as they are; 'none' only writes")
    options = parser.parse_args()
    FOLDER.mkdir(parents=True, exist_ok=True)
    measured = {"series": {}, "single": {}}
    if options.only != ",".join(STEPS) and MEASURED.exists():
        measured = json.loads(MEASURED.read_text())
    names = [it for it in options.only.split(",") if it != "none"]
    measure(names, measured)
    model = Model(measured)
    draw(model)
    write_page(measured, model)
    return 0


if __name__ == "__main__":
    sys.exit(main())
