"""The rules that this router applies.

Operators submit rules as a versioned file; the coordinator client passes each version
on to this module. Some rules have start or end times. Placement and admission
subscribe to the active rules, those that apply at the current time. A version is never
replaced by an older one.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime

from reactivex import Observable
from reactivex.subject import Subject
from returns.pipeline import is_successful

from mulberryrelay_control.rules import RuleSet, parse_rules, utc_now
from mulberryrelay_control.ruletypes import ActiveRules
from mulberryrelay_kernel.ids import RulesVersion
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import RulesDocument
from mulberryrelay_kernel.options import Options

# Period of checking whether a rule has reached its start or end time. A timer for the
# next such time could fire late, as the UTC clock may be stepped at any moment. A check
# takes microseconds, and the period keeps the delay far below 4 s.
START_TIME_CHECK_PERIOD_S = 0.25


class RouterRules:
    """The newest version of the rules that this router could apply."""

    def __init__(
        self,
        options: Options,
        now: Callable[[], datetime] = utc_now,
    ) -> None:
        self._options = options
        self._now = now
        self._document = RulesDocument(RulesVersion(0), "")
        self._rules = RuleSet()
        self._rejected: RulesVersion | None = None
        self._active = ActiveRules()
        # Whether no subscriber has failed with the active rules.
        self._is_applied = True
        self._changes: Subject[ActiveRules] = Subject()
        self._failures: Subject[RulesVersion] = Subject()

    @property
    def version(self) -> RulesVersion:
        """Version in use, confirmed to the coordinator; 0 before the first."""
        return self._document.version

    @property
    def document(self) -> RulesDocument:
        """Version in use with its text."""
        return self._document

    @property
    def rules(self) -> RuleSet:
        """All rules of the version in use, also those that are not active now."""
        return self._rules

    @property
    def rejected(self) -> RulesVersion | None:
        """Version that this router could not apply, or None."""
        return self._rejected

    @property
    def changes(self) -> Observable[ActiveRules]:
        """Emits the active rules after each change."""
        return self._changes

    @property
    def failures(self) -> Observable[RulesVersion]:
        """Emits the version in use whenever a subscriber fails to apply it."""
        return self._failures

    def on_change(self, subscriber: Callable[[ActiveRules], None]) -> None:
        """Call ``subscriber`` with the active rules after each change.

        If it raises an exception, the version counts as not applied, and all
        subscribers are called again at the next check. The exception must not reach the
        subject: that would end the subscription, and the router would continue under
        the previous rules.
        """

        def apply_or_reject(rules: ActiveRules) -> None:
            try:
                subscriber(rules)
            except Exception as error:
                self._is_applied = False
                self._reject(self.version, f"{type(error).__name__}: {error}")

        self._changes.subscribe(apply_or_reject)

    def active(self) -> ActiveRules:
        """Return the rules that apply now."""
        self._refresh()
        return self._active

    def apply(self, document: RulesDocument) -> bool:
        """Apply a version if it is newer; return whether it is in use now."""
        if document.version <= self.version:
            self._refresh()
            return document.version == self.version and self._is_applied
        parsed = parse_rules(document.text, f"rules {document.version}", self._options)
        if not is_successful(parsed):
            # The version stays unconfirmed, as this router cannot apply it.
            self._reject(document.version, str(parsed.failure()[0]))
            return False
        self._document = document
        self._rules = parsed.unwrap()
        if self._rejected is not None and self._rejected <= document.version:
            self._rejected = None
        self._refresh()
        if self._is_applied:
            log_event("rules_applied", version=document.version)
        return self._is_applied

    async def run(self) -> None:
        """Emit the changes at start and end times of rules until cancelled."""
        while True:
            self._refresh()
            await asyncio.sleep(START_TIME_CHECK_PERIOD_S)

    def _refresh(self) -> None:
        active = self._rules.active(self._now())
        if active == self._active and self._is_applied:
            return
        self._active = active
        self._is_applied = True
        self._changes.on_next(active)
        if not self._is_applied:
            self._failures.on_next(self.version)
        elif self._rejected == self.version:
            self._rejected = None

    def _reject(self, version: RulesVersion, finding: str) -> None:
        if version == self._rejected:
            return
        self._rejected = version
        log_event("rules_rejected", version=version, finding=finding)
