"""Keys of teams, operators and analysts."""

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
    """Who showed a valid key.

    Attributes:
        key_id: Public part of the key.
        role: The key's role.
        team: The key's team; empty for operators and analysts.
    """

    key_id: str
    role: str
    team: str


def digest(salt: str, secret: str) -> str:
    """Returns the keyed hash under which a secret is kept."""
    return hmac.new(salt.encode(), secret.encode(), hashlib.sha256).hexdigest()


def _same(one: str, other: str) -> bool:
    """Compares in a time that does not tell where they differ."""
    return hmac.compare_digest(one.encode(), other.encode())


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
    """Returns the holder of a token; the bootstrap key counts at first.

    Args:
        config: The configuration in force.
        token: The token shown.
        bootstrap_key: Operator's token that counts while no operator's key
            was ever granted; empty for none.
    """
    bootstraps = bool(bootstrap_key) and not config.bootstrapped
    if bootstraps and _same(token, bootstrap_key):
        return Holder(BOOTSTRAP, OPERATOR, "")
    return verify(config, token)
