"""Fakes at the transport's interfaces."""

import asyncio
import typing


class FakeTransport(asyncio.Transport):
    """Keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.closed = False
        self.is_reading = True
        self.pauses = 0

    def pause_reading(self) -> None:
        assert self.is_reading, 'reading was paused twice'
        self.is_reading = False
        self.pauses += 1

    def resume_reading(self) -> None:
        assert not self.is_reading, 'reading was resumed twice'
        self.is_reading = True

    def write(self, data: typing.Any) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        """Return what was written, as nobody reads it."""
        return len(self.written)

    def write_eof(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        return default
