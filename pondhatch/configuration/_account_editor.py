"""Accounts while edits are taken in: their policies, and whose their keys are."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from pondhatch.configuration._misfit_collector import MisfitCollector
from pondhatch.configuration._schema import AccountPolicy, AccountSpec, ServiceSpec, TemplateSpec
from pondhatch.configuration._templates import fill_in, undefined_services
from pondhatch.configuration._validation import Misfit


class AccountEditor:
    """Policies by account and accounts by key, as edits change them."""

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
        """Forget an account and the keys that it had as it was written before."""
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
        """Put an account in force, with the services that are there."""
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
        """Give a key to an account; of two that claim it, to the first by name."""
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
    """Return the hashes of an account's keys as written, whatever else it says."""
    value = msgspec.json.decode(raw) if raw is not None else None
    hashes = value.get("key_hashes") if isinstance(value, dict) else None
    return [each for each in hashes if isinstance(each, str)] if isinstance(hashes, list) else []


def _duplicate_key_text(other: str) -> str:
    return f"expected a key of its own, found that of account {other!r}"
