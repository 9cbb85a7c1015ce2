"""Bounds what a parser keeps of bytes that it has not reported."""


class UnreportedBytes:
    """Upper bound of what a parser holds.

    httptools keeps the header or trailer line that is not complete, and tells
    nothing of it. What it keeps is part of the bytes that were fed and not
    reported; after each report, it is part of the slice that was fed last.
    """

    def __init__(self) -> None:
        """Start with a parser that holds nothing."""
        self.count = 0
        self._slice_bytes = 0

    def feed(self, size: int) -> None:
        """Record that a slice of ``size`` bytes is being parsed."""
        self.count += size
        self._slice_bytes = size

    def report(self, size: int) -> None:
        """Record that the parser has reported ``size`` bytes of content."""
        self.count = max(min(self.count - size, self._slice_bytes), 0)

    def clear(self) -> None:
        """Record that the parser is between two messages."""
        self.count = 0
