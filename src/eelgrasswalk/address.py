"""An IP address and a port, as settings give them."""

import dataclasses
import ipaddress
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port.

    Args:
        host: IP address.
        port: Port; 0 for any free one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(value: typing.Any) -> Address:
    """Read `IP:port`.

    Raises:
        ValueError: The text is not an IP address and a port.
    """
    if not isinstance(value, str):
        raise ValueError(f'must be IP:port, not {value!r}')
    host, _, port = value.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(
            f'must be IP:port such as 10.1.2.3:8080, not {value!r}'
        ) from None
    if not 0 <= number <= 65_535:
        raise ValueError(f'port must be 0 to 65535, not {number}')
    return Address(host, number)
