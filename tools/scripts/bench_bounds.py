"""The bounds of tools/scripts/bench; docs/BENCH.md gives their reasons."""

import math

# Compilers and libraries of one release differ by less; a lost index or a copy costs more.
MARGINS = {"instructions": 1.15, "allocations": 1.10, "messages": 1.10, "wireBytes": 1.10}
# Of a figure below this, whole numbers jump: half an allocation isn't a finding.
SLACK = {"instructions": 300, "allocations": 0.5, "messages": 0.3, "wireBytes": 30}

# What stands on the way of a request and must not grow faster than the logarithm of the daemons.
REQUEST_PATH = ["placement", "choose-shard", "home-choice", "request", "request-own-key", "lookup"]
# Hash tables that outgrow a cache cost time, not instructions; the rest is this margin.
GROWTH_MARGIN = 1.25
GROWTH_FROM, GROWTH_TO = 36, 640

# At the letter's size (320 daemons): bounds of the letter, or well below the aims of issue 5.
LIMITS = [
    ("placement", 320, "instructions", 60000),
    ("gossip-round", 320, "wireBytes", 2000),
    ("idle-second", 320, "wireBytes", 28000),
    ("request", 320, "messages", 12),
    ("request", 320, "wireBytes", 1800),
]
# What a case must have done to count at all: a refusal costs less than a reservation.
DONE = {"placement": ("reserved", 1), "placement-shard": ("reserved", 1), "queue": ("reserved", 1),
        "grant": ("granted", 1), "home-choice": ("found", 1), "lookup": ("entries", 4),
        "request": ("answered", 1), "request-own-key": ("answered", 0.85), "apply": ("inForce", 1),
        "apply-diff": ("inForce", 1)}


def fitted_growth(rows):
    """By case, the power of the size that its instructions grow with (least squares of logs)."""
    cases = {}
    for row in rows:
        point = (math.log(row["size"]), math.log(max(1, row["instructions"])))
        cases.setdefault(row["case"], []).append(point)
    powers = {}
    for case, points in cases.items():
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        if spread:
            powers[case] = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return powers


def against_baseline(rows, baseline):
    known = {(row["case"], row["size"]): row for row in baseline}
    measured = {(row["case"], row["size"]) for row in rows}
    broken = [f"{case}/{size}: not measured" for case, size in known if (case, size) not in measured]
    for row in rows:
        name = f"{row['case']}/{row['size']}"
        before = known.get((row["case"], row["size"]))
        if before is None:
            broken.append(f"{name}: not in the baseline")
            continue
        for figure, margin in MARGINS.items():
            if figure not in before:
                continue
            bound = before[figure] * margin + SLACK[figure]
            if row[figure] > bound:
                broken.append(f"{name}: {row[figure]:g} {figure}, baseline {before[figure]:g}, "
                              f"bound {bound:g}")
    return broken


def against_growth(rows):
    broken = []
    values = {(row["case"], row["size"]): row["instructions"] for row in rows}
    allowed = math.log(GROWTH_TO) / math.log(GROWTH_FROM) * GROWTH_MARGIN
    for case in REQUEST_PATH:
        ratio = values[case, GROWTH_TO] / values[case, GROWTH_FROM]
        if ratio > allowed:
            broken.append(f"{case}: {ratio:.2f} times the instructions at {GROWTH_TO} daemons as "
                          f"at {GROWTH_FROM}; the logarithm and the margin allow {allowed:.2f}")
    return broken


def against_limits(rows):
    broken = []
    for row in rows:
        for case, size, figure, limit in LIMITS:
            if (row["case"], row["size"]) == (case, size) and row[figure] > limit:
                broken.append(f"{case}/{size}: {row[figure]:g} {figure}, limit {limit}")
        if row["case"] in DONE:
            figure, least = DONE[row["case"]]
            if row[figure] < least:
                broken.append(f"{row['case']}/{row['size']}: {figure} is {row[figure]:g}, "
                              f"it must be {least}")
    return broken


def broken_bounds(rows, baseline):
    return against_baseline(rows, baseline) + against_growth(rows) + against_limits(rows)
