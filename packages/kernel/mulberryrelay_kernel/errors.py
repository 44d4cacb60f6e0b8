"""Problems found in settings and rule files, and the exception that carries them."""

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One problem in a settings or rule file."""

    file: str
    place: str
    """``line:column`` in a rule file, or the dotted path in a settings file."""
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.place}: {self.message}"


class FindingsError(Exception):
    """Raised when a file is rejected; carries every problem found in it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self._findings = findings

    @property
    def findings(self) -> list[Finding]:
        """All problems that were found."""
        return self._findings
