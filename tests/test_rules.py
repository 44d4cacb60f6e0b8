"""Rule files: findings, start and end times, plans, and application by a router."""

from datetime import UTC, datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from mulberryrelay_control.ruleformat import format_rule
from mulberryrelay_control.ruleplan import rule_changes, unit_moves
from mulberryrelay_control.rules import (
    MAX_FINDINGS,
    MAX_RULES_BYTES,
    parse_rules,
    unknown_servers,
)
from mulberryrelay_control.ruletypes import (
    ActiveRules,
    DrainRule,
    LimitRule,
    OrderRule,
    PinRule,
    PinTarget,
    Rule,
)
from mulberryrelay_kernel.hashing import range_index, range_unit
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    DataCentre,
    Epoch,
    Key,
    RequestClass,
    RulesVersion,
    ServerId,
    ServiceName,
    Term,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    RulesDocument,
    ServerEntry,
    Unit,
)
from mulberryrelay_router.routerrules import RouterRules
from mulberryrelay_router.routingview import RoutingView

from .fixtures.rules import parse_valid_rules, rule_options

BY = " # requested by Ama Mensah"
SLOTFINDER = ServiceName("slotfinder")
NOON = datetime(2026, 12, 24, 12, tzinfo=UTC)

X, Y = "2026-12-24T18:00:00Z", "2026-12-25T18:00:00Z"

# Cases: rules without their comments, and the start of each expected finding.
RULES: list[tuple[str, list[str]]] = [
    ("pin key slotfinder trainer-17 to server s1", []),
    ('pin key slotfinder "a #b" to data-centre accra-osu', []),
    ("drain", ["1:6: expected 'server'"]),
    ("remove server s1", ["1:1: unknown rule 'remove'"]),
    ("drain server s*", ["1:14: 's*' is not a server name"]),
    ("pin key slots k to server s1", ["1:9: unknown service 'slots'"]),
    ("pin key bookpay k to server s1", ["1:9: service 'bookpay' is not part"]),
    ("pin key slotfinder k to shelf s1", ["1:25: expected 'server' or"]),
    ("pin key slotfinder k to data-centre x", ["1:37: unknown data centre 'x'"]),
    ('pin key slotfinder "k to server s1', ["1:20: quoted word does not end"]),
    ('pin key slotfinder "\\x" to server s1', ["1:20: quoted word is not"]),
    ('pin key slotfinder "\\n" to server s1', ["1:20: key is empty or has"]),
    ("limit bookpay class gold 5 per-second", ["1:21: service bookpay has no"]),
    ("limit bookpay class booking 0 per-second", ["1:29: limit must be from 1"]),
    ("limit bookpay class booking ٣ per-second", ["1:29: '٣' is not a whole"]),
    ("order bookpay payment", ["1:7: order must name every class"]),
    ("order bookpay payment booking payment", ["1:31: class 'payment' is named"]),
    ("drain server s1 from 2026-12-24", ["1:22: '2026-12-24' is not a UTC"]),
    ("drain server s1 from 2026-02-30T00:00:00Z", ["1:22: '2026-02-30T00:00:00Z'"]),
    (f"drain server s1 until {X} from {X}", ["1:44: 'until' must be later"]),
    (f"drain server s1 until {X} until {Y}", ["1:44: 'until' is given twice"]),
    ("drain server s1 now", ["1:17: expected 'from', 'until' or a comment"]),
    ("drain server s1\u202e", ["1:16: character U+202E is not allowed"]),
    (
        f"pin key slotfinder k to server s1\n"
        f"pin key slotfinder k to server s2 from {X}",
        ["2:1: key 'k' of slotfinder has a rule in line 1"],
    ),
    (
        f"pin key slotfinder k to server s1 until {X}\n"
        f"pin key slotfinder k to server s2 from {X}",
        [],
    ),
    (
        "limit bookpay class booking 1 per-second\n"
        "limit bookpay class payment 1 per-second\n"
        "limit bookpay class booking 2 per-second",
        ["3:1: limit of class booking of bookpay has a rule in line 1"],
    ),
    (
        f"drain server s1 from {X}\n  pin key slotfinder k to server s1",
        ["2:3: key is pinned to server s1, which line 1 drains"],
    ),
    (f"drain server s1 from {X}\npin key slotfinder k to server s1 until {X}", []),
]

# Cases: complete rule files, and the start of each expected finding.
FILES: list[tuple[str, list[str]]] = [
    ("", []),
    ("# only a comment\n\n   \t\r\n", []),
    (f"drain server s1{BY}, holiday", []),
    ("drain server s1", ["1:16: rule needs a comment"]),
    ("drain server s1 # why not", ["1:17: comment must end"]),
    ("drain server s1 # requested by , x", ["1:17: comment must end"]),
    ("drain server s1 # requested by ...", ["1:17: comment must end"]),
    (
        f"limit bookpay class gold many per-second\ndrain{BY}",
        ["1:21: service", "1:26: 'many'", "1:41: rule needs", "2:6: expected 'serv"],
    ),
]


def test_findings_are_reported_with_their_place() -> None:
    """Guards against accepting an invalid rule and reporting a wrong line or column."""
    commented = [
        (text.replace("\n", BY + "\n") + BY, findings) for text, findings in RULES
    ]
    for text, expected in [*commented, *FILES]:
        result = parse_rules(text, "f", rule_options())
        findings = [] if is_successful(result) else [str(x) for x in result.failure()]
        assert len(findings) == len(expected), (text, findings)
        for finding, start in zip(findings, expected, strict=True):
            assert finding.startswith(f"f:{start}"), (text, finding)


def test_size_and_number_of_findings_are_bounded() -> None:
    """Guards against a text so long that checking it delays a heartbeat."""
    long = parse_rules("#" * (MAX_RULES_BYTES + 1), "f", rule_options()).failure()
    assert [finding.place for finding in long] == ["1:1"]
    many = parse_rules("x\n" * 100_000, "f", rule_options()).failure()
    assert len(many) == MAX_FINDINGS + 1
    assert "was not checked" in many[-1].message


def test_unknown_server_is_only_a_warning() -> None:
    """Guards against rejecting a file because a server that it names has left."""
    rules = parse_valid_rules(f"drain server s1{BY}\ndrain server s2{BY}").rules
    warnings = unknown_servers(rules, [ServerId("s1")], "f")
    assert [w.place for w in warnings] == ["2:1"], warnings


def test_rule_is_active_only_between_its_times() -> None:
    """Guards against rules that are active before their start or after their end."""
    window = "from 2026-12-24T12:00:00Z until 2026-12-24T13:00:00Z"
    text = f"drain server s1 {window}{BY}"
    cases = [(-1, False), (0, True), (3599, True), (3600, False)]
    for offset_s, expected in cases:
        active = parse_valid_rules(text).active(NOON + timedelta(seconds=offset_s))
        assert (ServerId("s1") in active.drained) is expected, offset_s


def test_clock_that_steps_back_keeps_the_active_rules() -> None:
    """Guards against a started rule that ends, or an ended one that becomes active."""
    rules = parse_valid_rules(
        f"drain server s1 from 2026-12-24T12:00:00Z{BY}\n"
        f"drain server s2 until 2026-12-24T12:00:00Z{BY}"
    )
    assert rules.active(NOON - timedelta(seconds=1)).drained == {"s2"}
    assert rules.active(NOON).drained == {"s1"}
    assert rules.active(NOON - timedelta(hours=1)).drained == {"s1"}
    assert rules.next_change(NOON - timedelta(hours=1)) is None


def test_plan_lists_changes_and_moves() -> None:
    """Guards against a plan that omits changes or moves that a file would cause."""
    current = parse_valid_rules(f"limit bookpay class booking 5 per-second{BY}")
    proposed = parse_valid_rules(
        f"limit bookpay class booking 6 per-second{BY}\n"
        f"pin key slotfinder stay to server s1{BY}\n"
        f"pin key slotfinder go to data-centre accra-tema from 2026-12-24T18:00:00Z{BY}"
        f"\ndrain server s2{BY}"
    )
    owners = {range_index(Key(key), 8): ServerId("s1") for key in ("stay", "go")}
    ranges = [
        Unit(range_unit(i), owners.get(i, ServerId("s2")), Epoch(1)) for i in range(8)
    ]
    assignment = Assignment(AssignmentVersion(1), {SLOTFINDER: ranges}, {})
    servers = [
        ServerEntry(ServerId(f"s{n}"), SLOTFINDER, DataCentre("accra-osu"), "", 0)
        for n in (1, 2)
    ]
    changes = rule_changes(current, proposed)
    assert [(c.kind, c.subject, c.before, c.after) for c in changes] == [
        (
            "pin",
            "key slotfinder go",
            None,
            "data-centre accra-tema from 2026-12-24T18:00:00Z",
        ),
        ("pin", "key slotfinder stay", None, "server s1"),
        ("drain", "server s2", None, "drained"),
        ("limit", "bookpay class booking", "5 per-second", "6 per-second"),
    ], changes
    moves = unit_moves(current, proposed, assignment, servers)
    drained = [u.unit for u in ranges if u.owner == "s2"]
    assert [(m.unit, m.owner, m.starts) for m in moves] == [
        ("k:go", "s1", "2026-12-24T18:00:00Z"),
        *[(unit, "s2", "") for unit in drained],
    ], moves


def test_failing_subscriber_revokes_the_rules() -> None:
    """Guards against a router that exits, or keeps serving, if rules cannot be applied.

    A subscriber raises an exception when a rule becomes active. The router must give up
    its lease, still call the other subscribers, and recover once the call succeeds.
    """
    now = NOON - timedelta(seconds=1)
    rules = RouterRules(rule_options(), lambda: now)
    view = RoutingView(lambda: 0.0)
    rules.failures.subscribe(lambda _: view.revoke_rules())
    is_failing = True
    received_rules: list[ActiveRules] = []

    def fail(_: ActiveRules) -> None:
        if is_failing:
            raise ValueError("no such class")

    rules.on_change(fail)
    rules.on_change(received_rules.append)
    rule_text = f"drain server s1 from 2026-12-24T12:00:00Z{BY}"
    document = RulesDocument(RulesVersion(1), rule_text)

    def heartbeat() -> tuple[bool, bool, RulesVersion | None]:
        if rules.apply(document):
            view.apply_rules(document.version)
        view.set_pending_lease(100.0, Term(0), AssignmentVersion(0), document.version)
        return view.has_lease(), bool(received_rules), rules.rejected

    assert heartbeat() == (True, False, None)
    now = NOON
    assert rules.active().drained == {"s1"}
    assert not view.has_lease()
    assert heartbeat() == (False, True, 1)
    is_failing = False
    assert heartbeat() == (True, True, None)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.text(max_size=80) | st.text("pin key slotfinder to server # \t\"\\'\n0Z-"))
def test_parser_never_raises(text: str) -> None:
    """Guards against a submitted text that makes the parser raise an exception."""
    for candidate in (text, f"pin key slotfinder {text} to server s1{BY}", text + BY):
        result = parse_rules(candidate, "f", rule_options())
        assert is_successful(result) or result.failure()


_TIMES = st.datetimes(
    datetime(1, 1, 1), datetime(9999, 12, 30), timezones=st.just(UTC)
).map(lambda time: time.replace(microsecond=0))
_PRINTABLE = st.characters(codec="utf-8").filter(str.isprintable)
_SERVERS = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True).map(
    ServerId
)
_TARGETS = _SERVERS.map(lambda name: PinTarget(server=name)) | st.just(
    PinTarget(data_centre=DataCentre("accra-tema"))
)
_CLASSES = ("payment", "booking")
_ACTIONS = st.one_of(
    st.builds(
        PinRule,
        st.just(SLOTFINDER),
        st.text(_PRINTABLE, min_size=1, max_size=8).map(Key),
        _TARGETS,
    ),
    st.builds(DrainRule, _SERVERS),
    st.builds(
        LimitRule,
        st.just(ServiceName("bookpay")),
        st.sampled_from(_CLASSES).map(RequestClass),
        st.integers(1, 10**9),
    ),
    st.permutations(_CLASSES).map(
        lambda order: OrderRule(
            ServiceName("bookpay"), tuple(RequestClass(name) for name in order)
        )
    ),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(_ACTIONS, st.none() | _TIMES, st.none() | st.timedeltas(timedelta(seconds=1)))
def test_formatted_rule_parses_to_the_same_rule(
    action: PinRule | DrainRule | LimitRule | OrderRule,
    starts: datetime | None,
    length: timedelta | None,
) -> None:
    """Guards against keys, times or names that formatting and parsing change."""
    ends = None
    if length is not None:
        base = starts or datetime(2026, 1, 1, tzinfo=UTC)
        seconds = 1 + int(length.total_seconds()) % 86_400
        ends = base + timedelta(seconds=seconds)
    rule = Rule(
        action, "Ama Mensah", "why, requested by Ama Mensah", starts, ends, line=1
    )
    parsed = parse_rules(format_rule(rule), "f", rule_options())
    assert is_successful(parsed), (format_rule(rule), parsed.failure())
    assert parsed.unwrap().rules == (rule,)
