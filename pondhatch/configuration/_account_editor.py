"""Account policies and API keys while edits are applied."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from pondhatch.configuration._misfit_collector import MisfitCollector
from pondhatch.configuration._schema import AccountPolicy, AccountSpec, ServiceSpec, TemplateSpec
from pondhatch.configuration._templates import fill_in, undefined_services
from pondhatch.configuration._validation import Misfit


class AccountEditor:
    """Working copies of the policies by account and the accounts by key hash."""

    def __init__(
        self,
        policies: Mapping[str, AccountPolicy],
        account_by_key_hash: Mapping[str, str],
        misfits: MisfitCollector,
    ) -> None:
        self.policies = dict(policies)
        self.account_by_key_hash = dict(account_by_key_hash)
        self._misfits = misfits

    def remove(self, account: str, raw: bytes | None) -> None:
        """Remove an account and the keys of its previous entry (``raw``, JSON)."""
        self.policies.pop(account, None)
        for key_hash in _key_hashes(raw):
            if self.account_by_key_hash.get(key_hash) == account:
                del self.account_by_key_hash[key_hash]

    def set(
        self,
        account: str,
        spec: AccountSpec,
        template: TemplateSpec,
        services: Mapping[str, ServiceSpec],
    ) -> None:
        """Apply an account, with those of its services that are defined."""
        policy = fill_in(spec, template)
        if not isinstance(policy, AccountPolicy):
            self._misfits.add_all("account", account, policy)
            return
        self._misfits.add_all("account", account, undefined_services(policy, services))
        defined = tuple(each for each in policy.services if each in services)
        self.policies[account] = replace(policy, services=defined)
        for index, key_hash in enumerate(spec.key_hashes):
            self._assign_key(account, index, key_hash)

    def _assign_key(self, account: str, index: int, key_hash: str) -> None:
        """Assign a key to an account; where two name it, to the first by account name."""
        other = self.account_by_key_hash.get(key_hash, account)
        winner, loser = sorted((account, other))
        self.account_by_key_hash[key_hash] = winner
        if winner == loser:
            return
        misfit = Misfit(("key_hashes", index), _duplicate_key_text(other))
        if loser == account:
            self._misfits.add("account", account, misfit)
            return
        self._misfits.add_affected(
            "account", loser, Misfit(("key_hashes",), _duplicate_key_text(winner))
        )
        self._misfits.add_cause("account", account, misfit)


def _key_hashes(raw: bytes | None) -> list[str]:
    """Return the key hashes in an account's entry, even where the entry is invalid."""
    value = msgspec.json.decode(raw) if raw is not None else None
    hashes = value.get("key_hashes") if isinstance(value, dict) else None
    return [each for each in hashes if isinstance(each, str)] if isinstance(hashes, list) else []


def _duplicate_key_text(other: str) -> str:
    return f"expected a key of its own, found that of account {other!r}"
