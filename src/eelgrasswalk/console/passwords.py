"""Password digests by scrypt, and a bound on attempts to sign in."""

import base64
import collections
import hashlib
import hmac
import secrets

COST = 2**14
BLOCK_SIZE = 8
PARALLELISM = 1
MAX_MEMORY_BYTES = 64 * 1024 * 1024
SALT_BYTES = 16
DIGEST_BYTES = 32
MAX_PASSWORD_CHARACTERS = 1024
MAX_ATTEMPTS = 5
ATTEMPT_WINDOW_S = 60.0
MAX_SUBJECTS = 10_000
SCHEME = 'scrypt'


def hash_password(password: str, *, salt: bytes | None = None) -> str:
    """Return the text that settings keep in place of a password."""
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = _derive(password, salt)
    parts = (SCHEME, _encode(salt), _encode(digest))
    return '$'.join(parts)


def verify_password(password: str, stored: str) -> bool:
    """Tell whether a password fits the text in the settings."""
    try:
        scheme, salt, digest = stored.split('$')
        wanted = base64.b64decode(digest, validate=True)
        found = _derive(password, base64.b64decode(salt, validate=True))
    except ValueError:
        return False
    return scheme == SCHEME and hmac.compare_digest(found, wanted)


def _derive(password: str, salt: bytes) -> bytes:
    return hashlib.scrypt(
        password.encode('utf-8', 'surrogatepass'),
        salt=salt,
        n=COST,
        r=BLOCK_SIZE,
        p=PARALLELISM,
        maxmem=MAX_MEMORY_BYTES,
        dklen=DIGEST_BYTES,
    )


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


class AttemptLimiter:
    """Counts recent attempts by subject, such as a name or an address."""

    def __init__(self) -> None:
        self._attempts: collections.OrderedDict[str, list[float]]
        self._attempts = collections.OrderedDict()

    def admit(self, subject: str, now: float) -> bool:
        """Count an attempt and tell whether it may go on.

        Args:
            subject: Name or address that the attempt is counted under.
            now: Monotonic time in seconds.
        """
        recent = self._attempts.pop(subject, [])
        recent = [at for at in recent if now - at < ATTEMPT_WINDOW_S]
        allowed = len(recent) < MAX_ATTEMPTS
        if allowed:
            recent.append(now)
        self._attempts[subject] = recent
        while len(self._attempts) > MAX_SUBJECTS:
            self._attempts.popitem(last=False)
        return allowed

    def forget(self, subject: str) -> None:
        """Drop the attempts of a subject that signed in."""
        self._attempts.pop(subject, None)
