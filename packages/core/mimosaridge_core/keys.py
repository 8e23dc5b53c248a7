"""Verification of the keys of teams, operators and analysts."""

import dataclasses
import hashlib
import hmac

from mimosaridge_core import configuration

OPERATOR = "operator"
ANALYST = "analyst"
TEAM = "team"
ROLES = (TEAM, OPERATOR, ANALYST)
BOOTSTRAP = "bootstrap"
NO_DIGEST = "0" * 64


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The holder of a verified key.

    Attributes:
        key_id: Public part of the key.
        role: The key's role.
        team: The key's team; empty for operators and analysts.
    """

    key_id: str
    role: str
    team: str


def digest(salt: str, secret: str) -> str:
    """Returns the salted hash that is stored in place of a secret."""
    return hmac.new(salt.encode(), secret.encode(), hashlib.sha256).hexdigest()


def _same(first: str, second: str) -> bool:
    """Compares two strings in constant time, to prevent timing attacks."""
    return hmac.compare_digest(first.encode(), second.encode())


def verify(config: configuration.Config, token: str) -> Holder | None:
    """Returns the holder of a token "key_id.secret", or None if invalid."""
    key_id, _, secret = token.partition(".")
    key = config.keys.get(key_id)
    known = key is not None and not key.withdrawn
    salt = key.salt if known else ""
    expected = key.digest if known else NO_DIGEST
    matches = _same(digest(salt, secret), expected)
    if not known or not matches:
        return None
    return Holder(key.key_id, key.role, key.team)


def verify_administrator(
    config: configuration.Config, token: str, bootstrap_key: str
) -> Holder | None:
    """Returns the holder of a token, or None if invalid.

    Args:
        config: The active configuration.
        token: The token presented, "key_id.secret" or the bootstrap key.
        bootstrap_key: Operator token that is valid until the first operator
            key is granted; empty for none.
    """
    bootstrap_allowed = bool(bootstrap_key) and not config.bootstrapped
    if bootstrap_allowed and _same(token, bootstrap_key):
        return Holder(BOOTSTRAP, OPERATOR, "")
    return verify(config, token)
