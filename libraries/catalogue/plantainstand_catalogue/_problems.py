"""What is wrong with an entry or a change, and what to do about it."""

import msgspec


class CatalogueProblem(msgspec.Struct, frozen=True):
    """One reason why an entry or a change is refused."""

    entry: str
    """Which entry, as ``<kind>/<id>`` or its position in the file."""

    field: str
    """Which field, as a dotted path; empty for the entry as a whole."""

    message: str
    """What is wrong."""

    remedy: str
    """What the operator can do."""

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        place = f'{self.entry}, {self.field}' if self.field else self.entry
        return f'{place}: {self.message}; {self.remedy}'
