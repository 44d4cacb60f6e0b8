"""Settings: all findings of a document are reported, each with its place."""

from typing import Any

from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.settings import check_settings

VALID: dict[str, Any] = {
    "tenant": "kwahu",
    "instance": {"name": "entry-1", "data_centre": "accra-osu"},
    "platform": {"plugin": "memory"},
    "data_centres": ["accra-osu"],
    "services": {"slotfinder": {"classes": ["listing"], "partitioned": True}},
}

# Cases: changes to the valid settings, and the places of the expected findings.
CASES: list[tuple[dict[str, Any], list[str]]] = [
    ({"tenent": "kwahu"}, ["tenent"]),
    ({"instance": {"name": "entry-1"}}, ["instance.data_centre"]),
    (
        {"services": {"slotfinder": {"classes": [3], "slotz": 4}}},
        ["services.slotfinder.classes[0]", "services.slotfinder.slotz"],
    ),
    (
        {"timing": {"renew_ms": 400, "promise_ms": 100}},
        ["timing.renew_ms", "timing.promise_ms"],
    ),
    (
        {"limits": {"queue_length": 0, "retry_ratio": 1.5, "body_bytes": -1}},
        ["limits.body_bytes", "limits.queue_length", "limits.retry_ratio"],
    ),
    (
        {"peers": ["10.0.0.1:7001", "10.0.0.1", ":7001", "a:0"]},
        ["peers[1]", "peers[2]", "peers[3]"],
    ),
    (
        {"operators": [{"name": "ama", "credential": ""}]},
        ["operators[0].credential"],
    ),
    (
        {
            "operators": [
                {"name": n, "credential": c} for n, c in (("a", "x"), ("b", "x"))
            ]
        },
        ["operators[1].credential"],
    ),
    (
        {"operators": [{"name": "ama", "credential": "two words"}]},
        ["operators[0].credential"],
    ),
    (
        {"platform": {"url": "http://x", "instances": [{"name": "s1"}]}},
        [f"platform.instances[0].{n}" for n in ("kind", "data_centre", "host", "port")],
    ),
]


def test_valid_settings_are_accepted() -> None:
    """Guards against rejecting valid settings."""
    options = check_settings(VALID, "valid")
    assert options.services["slotfinder"].partitioned  # type: ignore[index]


def test_every_finding_is_reported_with_its_place() -> None:
    """Guards against reporting only the first of several problems, or a wrong place."""
    for changes, places in CASES:
        try:
            check_settings({**VALID, **changes}, "case")
        except FindingsError as error:
            found = [finding.place for finding in error.findings]
        else:
            found = []
        assert found == places, (changes, found)
