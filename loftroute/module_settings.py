"""Reads the settings of the decision module, for the bench adapter and the relay. Times are nanoseconds."""

from typing import Any

from loftroute.config_section import Section
from loftroute.decision import interface as i

CONTROLS = {
    "first_voice": i.Control.ANY,
    "by_count": i.Control.SHARE,
    "automatic": i.Control.TIMER,
}


def _class(raw: Section) -> i.RequestClass:
    deadline = raw.integer("hard_limit")
    return i.RequestClass(
        name=raw.text("name", ""),
        target_latency=raw.integer("aim", 0) or deadline,
        deadline=deadline,
        effect=raw.choice("effect", {e.value: e for e in i.Effect}, "unsafe"),
        dedup_scope=raw.choice("group", {g.value: g for g in i.DedupScope}, "all"),
        key_window=raw.integer("window", 0),
        value=raw.number("worth", 1.0),
        late_value=raw.number("late_worth", 0.0),
        stream=raw.flag("stream"),
        target_stretch=raw.number("aim_stretch", 0.0),
    )


def _release(raw: Section) -> i.Release:
    return i.Release(
        control=raw.choice("decided_by", CONTROLS, "first_voice"),
        in_place=raw.text("replace_mode", "") == "replace",
        stage_share=raw.numbers("stage_share"),
        stage_cap=raw.numbers("stage_cap"),
        cap_per_class=raw.text("cap_scope", "") == "each_class",
        safe_only_stages=raw.integer("safe_only_stages", 0),
        forward_only=raw.flag("forward_only"),
        free_attempts=raw.number("allowance", 0.0),
        exposure_window=raw.integer("counted_over", 0),
        bake_time=raw.integer("min_dwell", 0),
        stage_duration=raw.integer("moves_after", 0),
        vote_ttl=raw.integer("ballot_ttl", 0),
        call_timeout=raw.integer("answer_wait", 0),
        calls_per_s=raw.number("calls_per_s", 0.0),
        votes_to_advance=raw.integer("ayes_needed", 0),
        votes_to_roll_back=raw.integer("to_abort", 1),
        push_period=raw.integer("repeat_every", 0),
        tally_period=raw.integer("tally_every", 0),
        behind_price=raw.number("behind_price", 0.0),
        harm_price=raw.number("harm_fee", 0.0),
    )


def read_settings(source: Any, path: str = "") -> i.Settings:
    """Parse the settings of an instance; unknown keys are ignored.

    `path` is the prefix of keys in errors. Raises `ConfigError`.
    """
    raw = Section(source, path)
    limits, rules = raw.section("ceilings"), raw.section("obligations")
    prices, report = raw.section("prices"), raw.section("reporting")
    return i.Settings(
        instance_index=raw.integer("self_index", 0),
        instances=max(1, raw.integer("instances", 1)),
        zone=raw.integer("zone", 0),
        clock_granularity=raw.integer("tick", 0),
        classes=tuple(_class(c) for c in raw.sections("services")),
        quotas=tuple(p.number("allowance_per_s", 0.0) for p in raw.sections("parties")),
        over_quota_value=raw.number("over_share_worth", 1.0),
        release=_release(raw.section("family_info")),
        ask_discovery=raw.text("discovery", "") == "ask",
        ask_discovery_within=rules.integer("ask_within", 0),
        drain_grace=rules.integer("drain_grace", 0),
        cold_duration=rules.integer("cold", 0),
        start_capacity=max(rules.number("start_capacity", 0.0), 0.0) or 1.0,
        overload_window=rules.integer("fall", 0),
        overload_multiple=rules.number("fall_multiple", 0.0) or 1.0,
        max_attempts=limits.integer("max_attempts", 0) or 1,
        max_retry_after=limits.integer("max_retry_after", 0),
        retry_after=limits.flag("retry_after"),
        cancel=limits.flag("cancel"),
        probes=limits.flag("probes"),
        second_copies=limits.flag("second_copies"),
        report_fields=report.texts("fields"),
        reports=report.text("via", "none"),
        weights=raw.text("weights", "none"),
        probe_price=prices.number("probe", 0.0),
        cross_zone_price=prices.number("cross_zone", 0.0),
    )
