"""The rules that this router applies.

Takes versions of the rule file from the peer task and offers the rules that apply now
to placement and admission. A version is never replaced by an older one.
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

# The UTC clock may be stepped at any moment, so that a timer for the next booked time
# could fire late. A check takes microseconds and keeps the delay far below 4 s.
BOOKED_CHECK_S = 0.25


class RouterRules:
    """The newest version of the rules that this router has seen."""

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
        self._is_followed = True
        self._changes: Subject[ActiveRules] = Subject()
        self._failures: Subject[RulesVersion] = Subject()

    @property
    def version(self) -> RulesVersion:
        """Version in use, 0 before the first; what the router confirms."""
        return self._document.version

    @property
    def document(self) -> RulesDocument:
        """Version in use with its text."""
        return self._document

    @property
    def rules(self) -> RuleSet:
        """All rules of the version in use, booked ones included."""
        return self._rules

    @property
    def rejected(self) -> RulesVersion | None:
        """Version that this router could not apply, or None."""
        return self._rejected

    @property
    def changes(self) -> Observable[ActiveRules]:
        """Emits the active rules whenever they have changed."""
        return self._changes

    @property
    def failures(self) -> Observable[RulesVersion]:
        """Emits the version in use each time that a follower has failed with it."""
        return self._failures

    def follow(self, use: Callable[[ActiveRules], None]) -> None:
        """Call ``use`` whenever the active rules have changed.

        After an exception the version counts as not applied, and all followers are
        called again at the next check. An exception that reached the subject would end
        the subscription, and the router would go on under the former rules.
        """

        def use_or_fail(rules: ActiveRules) -> None:
            try:
                use(rules)
            except Exception as error:
                self._is_followed = False
                self._reject(self.version, f"{type(error).__name__}: {error}")

        self._changes.subscribe(use_or_fail)

    def active(self) -> ActiveRules:
        """Return the rules that apply now."""
        self._refresh()
        return self._active

    def apply(self, document: RulesDocument) -> bool:
        """Use a version if it is newer; return whether it is in use now."""
        if document.version <= self.version:
            self._refresh()
            return document.version == self.version and self._is_followed
        parsed = parse_rules(document.text, f"rules {document.version}", self._options)
        if not is_successful(parsed):
            # Not confirmed: this router must not claim rules that it cannot apply.
            self._reject(document.version, str(parsed.failure()[0]))
            return False
        self._document = document
        self._rules = parsed.unwrap()
        if self._rejected is not None and self._rejected <= document.version:
            self._rejected = None
        self._refresh()
        if self._is_followed:
            log_event("rules_applied", version=document.version)
        return self._is_followed

    async def run(self) -> None:
        """Emit changes at booked times until cancelled."""
        while True:
            self._refresh()
            await asyncio.sleep(BOOKED_CHECK_S)

    def _refresh(self) -> None:
        active = self._rules.active(self._now())
        if active == self._active and self._is_followed:
            return
        self._active = active
        self._is_followed = True
        self._changes.on_next(active)
        if not self._is_followed:
            self._failures.on_next(self.version)
        elif self._rejected == self.version:
            self._rejected = None

    def _reject(self, version: RulesVersion, finding: str) -> None:
        if version == self._rejected:
            return
        self._rejected = version
        log_event("rules_rejected", version=version, finding=finding)
