#!/usr/bin/env python3
"""Worth that a deployment's engines could earn on each standard day if every choice were perfect.

    bench/limit/worth.py SITE.toml

Reads a site file of the users. For each day it gives the share of the worth that could be earned and the prices that can't
be avoided, under assumptions that favour the system: each request runs once, at the smallest model that suffices; what
prompts share is read once an engine and use of the window; nothing waits; faults cost only the streams that they cut.
Needs Python 3.11.
"""
import sys
import tomllib

# Output tokens that a stream makes while its engine reads other prompts are late by this factor at the load of the day.
WORST_KIND_SPREAD = 0.03  # the worst kind of request is served this much worse than the mean even if all goes well


def hardness_share(quality, exponent):
    """Share of requests that a model of this quality answers well; difficulty is a uniform draw to this power."""
    return min(1.0, quality) ** (1.0 / exponent)


def shares_of_models(models, exponent):
    """Share of requests for which each model is the smallest that suffices."""
    below = 0.0
    shares = []
    for model in models:
        upto = hardness_share(model["quality"], exponent)
        shares.append(upto - below)
        below = upto
    return shares


class Kind:
    """One kind of request, with its means."""

    def __init__(self, entry):
        self.name = entry["name"]
        self.worth = entry["worth"]
        self.late = entry["late_worth"]
        stream = entry.get("stream")
        self.is_stream = stream is not None
        if not stream:
            self.work_s = entry["work_ms"]["mean"] / 1000
            return
        self.own = stream["prompt_tokens"]["mean"]
        self.shared = sum(part["tokens"]["mean"] for part in stream["chain"])
        self.events = stream["pieces"]["mean"]
        self.exponent = stream.get("hard", 1.0)


def rates(traffic, kinds):
    """Requests a second of each kind."""
    out = {kind.name: 0.0 for kind in kinds}
    for zone in traffic:
        total = sum(zone["mix"].values())
        for name, weight in zone["mix"].items():
            out[name] += zone["per_s"] * weight / total
    return out


def day_limit(site, day):
    kinds = [Kind(entry) for entry in site["classes"]]
    per_s = rates(day.get("traffic", site["traffic"]), kinds)
    service = next(s for s in site["services"] if s.get("model") == "llm")
    llm = service["llm"]
    engines = sum(group["count"] for group in service["servers"])
    models = site["models"]
    length = site["length_s"] + (17 if "closing" in day else 0)

    owed = sum(per_s[k.name] * k.worth for k in kinds)
    read_s = 0.0
    steps_of_slots = 0.0
    model_price = 0.0
    cut = 0.0
    for kind in kinds:
        rate = per_s[kind.name]
        if not kind.is_stream:
            cut += rate * kind.work_s * kind.worth
            continue
        out_tokens = kind.events * llm["stride"]
        for model, share in zip(models, shares_of_models(models, kind.exponent)):
            # The shared part is found, the own part is read once.
            read_s += rate * share * kind.own / llm["prefill_tokens_per_ms"] / 1000 * model["pace"]
            model_price += rate * share * model["cost"] * (kind.own / 4 + out_tokens) / 1000
        steps_of_slots += rate * out_tokens
        kind.shortest_s = out_tokens * llm["step_ms"] / 1000
        cut += rate * kind.shortest_s * (kind.worth - kind.late)
    # What is left of the engines' time makes tokens; n requests at once make n tokens in a step of step + n * per slot.
    time_left = max(0.05, 1 - read_s / engines)
    per_engine = steps_of_slots / engines / time_left / 1000
    slow = 1 / max(0.05, 1 - per_engine * llm["step_ms_per_slot"])
    running = per_engine * llm["step_ms"] * slow
    stretch = slow / time_left

    prices = site["prices"]
    machines = sum(m["count"] for m in site["machines"] if m["class"] == "front")
    lead = site["lead_s"]
    unavoidable = {
        "machines": machines * (length + lead) * prices["machine_s"] / (owed * length),
        "models": model_price / owed,
    }
    cut_share = cut * stretch / (owed * length) if "closing" in day else 0.0
    earned = 1 - cut_share
    worst = earned - WORST_KIND_SPREAD
    goal = site["goal"]
    parts = earned * (goal["mean"] + goal.get("zone", 0)) + worst * (goal["window"] + goal["class"])
    return {
        "day": day["name"],
        "requests_s": sum(per_s.values()),
        "reading": read_s / engines,
        "running": running,
        "stretch": stretch,
        "cut": cut_share,
        "prices": sum(unavoidable.values()),
        "models": unavoidable["models"],
        "worth": parts - sum(unavoidable.values()),
    }


def main():
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    print("| day | requests/s | engines' time reading | requests an engine | stretch of streams | cut at the end | models | prices | worth at most |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    worths = []
    for day in site["day"]:
        limit = day_limit(site, day)
        if limit["day"] != "quiet-1":
            worths.append(limit["worth"])
        print("| {day} | {requests_s:.0f} | {reading:.2f} | {running:.1f} | {stretch:.2f} | {cut:.3f} | {models:.3f} | "
              "{prices:.3f} | {worth:.3f} |".format(**limit))
    print(f"mean of the days with trouble: {sum(worths) / len(worths):.3f}")


if __name__ == "__main__":
    main()
