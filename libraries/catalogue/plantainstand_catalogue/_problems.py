"""Problems of entries and changes."""

import msgspec


class CatalogueProblem(msgspec.Struct, frozen=True):
    """A reason why an entry or a change is refused, with a remedy."""

    entry: str
    """The entry, as ``<kind>/<id>`` or by its position in the file."""

    field: str
    """The field as a dotted path; empty for the whole entry."""

    message: str
    """What is wrong."""

    remedy: str
    """What the operator can do to solve the problem."""

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        place = f'{self.entry}, {self.field}' if self.field else self.entry
        return f'{place}: {self.message}; {self.remedy}'
