"""Settings of the console."""

import dataclasses
import pathlib

import cattrs
import yaml

MIN_SECRET_CHARACTERS = 32
SESSION_LIFETIME_S = 8 * 3600


class SettingsError(ValueError):
    """Settings that cannot be used; the message names the remedy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who may sign in.

    Args:
        name: Name, as it appears in the audit trail.
        password: Digest that `eelgrasswalk-console hash-password` prints.
    """

    name: str
    password: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the console.

    Args:
        listen: Address to serve on, `IP:PORT`.
        platform: The platform's URL.
        nodes: Administration addresses of some nodes, `IP:PORT`.
        session_secret: Secret that signs sessions, the same on every host
            that runs the console.
        operators: Who may sign in.
        https: Whether browsers reach the console by HTTPS.
        session_lifetime_s: Seconds after which an operator signs in again.
    """

    listen: str
    platform: str
    session_secret: str
    operators: tuple[Operator, ...]
    nodes: tuple[str, ...] = ()
    https: bool = True
    session_lifetime_s: int = SESSION_LIFETIME_S


def load_settings(path: pathlib.Path) -> Settings:
    """Load the settings file.

    Args:
        path: Path of the YAML file.

    Raises:
        SettingsError: The file cannot be read or used.
    """
    try:
        data = yaml.safe_load(path.read_bytes())
        settings = _CONVERTER.structure(data, Settings)
    except OSError as error:
        raise SettingsError(
            f'{path} cannot be read: {error.strerror}.'
        ) from error
    except yaml.YAMLError as error:
        raise SettingsError(f'{path} is not YAML: {error}.') from error
    except cattrs.BaseValidationError as error:
        faults = '; '.join(cattrs.transform_error(error))
        raise SettingsError(f'{path}: {faults}.') from error
    check_settings(settings)
    return settings


def check_settings(settings: Settings) -> None:
    """Check what the types do not say.

    Raises:
        SettingsError: A value cannot be used.
    """
    if len(settings.session_secret) < MIN_SECRET_CHARACTERS:
        raise SettingsError(
            f'session_secret has fewer than {MIN_SECRET_CHARACTERS} '
            'characters; give a random one.'
        )
    if not settings.operators:
        raise SettingsError('operators is empty; nobody could sign in.')


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
