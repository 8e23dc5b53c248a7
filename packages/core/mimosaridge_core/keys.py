"""Keys of teams, operators and analysts."""

import dataclasses
import hashlib
import hmac

from mimosaridge_core import configuration

OPERATOR = "operator"
ANALYST = "analyst"
TEAM = "team"
ROLES = (TEAM, OPERATOR, ANALYST)


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


def verify(config: configuration.Config, token: str) -> Holder | None:
    """Returns the holder of a token "key_id.secret", or None if invalid."""
    key_id, _, secret = token.partition(".")
    key = config.keys.get(key_id)
    if key is None or key.withdrawn:
        return None
    if not hmac.compare_digest(digest(key.salt, secret), key.digest):
        return None
    return Holder(key.key_id, key.role, key.team)
