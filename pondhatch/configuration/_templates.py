"""Fills in templates with the parameters of an account, which gives its policy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pondhatch.configuration._schema import (
    AccountPolicy,
    AccountSpec,
    ParameterSpec,
    Scalar,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._validation import Misfit, validate

#: Prefix of a value in a template's body that names a parameter.
REFERENCE_MARK = "$"

#: Python types of a parameter's values, by ``ParameterSpec.type``.
_PYTHON_TYPES: dict[str, tuple[type, ...]] = {
    "integer": (int,),
    "number": (int, float),
    "string": (str,),
    "boolean": (bool,),
}


def fill_in(account: AccountSpec, template: TemplateSpec) -> AccountPolicy | tuple[Misfit, ...]:
    """Return the account's policy, or every misfit, with paths in the account's entry."""
    misfits = _check_parameters(account, template)
    if misfits:
        return misfits
    values = {
        name: account.parameters.get(name, spec.default)
        for name, spec in template.parameters.items()
    }
    policy = validate(AccountPolicy, _substituted(template.account, values))
    if not isinstance(policy, AccountPolicy):
        return tuple(_relocate_to_account(misfit, account, template) for misfit in policy)
    return policy


def undefined_services(
    policy: AccountPolicy, services: Mapping[str, ServiceSpec]
) -> tuple[Misfit, ...]:
    """Return a misfit if an account names services that are not defined."""
    undefined = [name for name in policy.services if name not in services]
    if not undefined:
        return ()
    known = ", ".join(sorted(services)) or "none"
    return (Misfit(("template",), f"undefined service {undefined[0]!r}; expected of: {known}"),)


def check_template(template: TemplateSpec) -> tuple[Misfit, ...]:
    """Return the misfits of a template that do not depend on the accounts using it."""
    misfits = []
    for path, name in _references(template.account, ("account",)):
        if name not in template.parameters:
            known = ", ".join(sorted(template.parameters)) or "none"
            misfits.append(Misfit(path, f"undefined parameter {name!r}; expected one of: {known}"))
    for name, spec in template.parameters.items():
        error = _value_error(spec, spec.default) if spec.default is not None else None
        if error:
            misfits.append(Misfit(("parameters", name, "default"), error))
    return tuple(misfits)


def _check_parameters(account: AccountSpec, template: TemplateSpec) -> tuple[Misfit, ...]:
    misfits = []
    for name, value in account.parameters.items():
        spec = template.parameters.get(name)
        if spec is None:
            known = ", ".join(sorted(template.parameters)) or "none"
            error: str | None = f"unknown parameter; expected one of: {known}"
        else:
            error = _value_error(spec, value)
        if error:
            misfits.append(Misfit(("parameters", name), error))
    for name, spec in template.parameters.items():
        if name not in account.parameters and spec.default is None:
            misfits.append(
                Misfit(
                    ("parameters",),
                    f"missing parameter {name!r}; expected {_describe_allowed(spec)}",
                )
            )
    return tuple(misfits)


def _value_error(spec: ParameterSpec, value: Scalar) -> str | None:
    boolean_as_number = isinstance(value, bool) and spec.type != "boolean"
    if boolean_as_number or not isinstance(value, _PYTHON_TYPES[spec.type]):
        return f"expected {_describe_allowed(spec)}, found {value!r}"
    if spec.choices and value not in spec.choices:
        return f"expected {_describe_allowed(spec)}, found {value!r}"
    if isinstance(value, str):
        return None
    too_small = spec.minimum is not None and value < spec.minimum
    too_large = spec.maximum is not None and value > spec.maximum
    if too_small or too_large:
        return f"expected {_describe_allowed(spec)}, found {value!r}"
    return None


def _describe_allowed(spec: ParameterSpec) -> str:
    parts = [f"{'an' if spec.type == 'integer' else 'a'} {spec.type}"]
    if spec.minimum is not None:
        parts.append(f"at least {spec.minimum:g}")
    if spec.maximum is not None:
        parts.append(f"at most {spec.maximum:g}")
    if spec.choices:
        parts.append("out of " + ", ".join(str(choice) for choice in spec.choices))
    return " ".join(parts)


def _substituted(body: Any, values: Mapping[str, Scalar | None]) -> Any:
    if isinstance(body, dict):
        return {key: _substituted(value, values) for key, value in body.items()}
    if isinstance(body, list):
        return [_substituted(value, values) for value in body]
    if isinstance(body, str) and body.startswith(REFERENCE_MARK):
        return values.get(body[len(REFERENCE_MARK) :])
    return body


def _references(body: Any, path: tuple[str | int, ...]) -> list[tuple[tuple[str | int, ...], str]]:
    """Return the path and the parameter's name of each reference in a template's body."""
    if isinstance(body, dict):
        nested = [_references(value, (*path, key)) for key, value in body.items()]
        return [found for each in nested for found in each]
    if isinstance(body, list):
        nested = [_references(value, (*path, index)) for index, value in enumerate(body)]
        return [found for each in nested for found in each]
    if isinstance(body, str) and body.startswith(REFERENCE_MARK):
        return [(path, body[len(REFERENCE_MARK) :])]
    return []


def _relocate_to_account(misfit: Misfit, account: AccountSpec, template: TemplateSpec) -> Misfit:
    """Return a misfit of the policy as one of the account, at the parameter that caused it.

    Without such a parameter the misfit is at the account's template.
    """
    value: Any = template.account
    for part in misfit.path:
        reachable = isinstance(value, dict) and part in value
        value = value[part] if reachable else None
    if isinstance(value, str) and value.startswith(REFERENCE_MARK):
        name = value[len(REFERENCE_MARK) :]
        if name in account.parameters:
            return Misfit(("parameters", name), misfit.expected)
    field = ".".join(str(part) for part in misfit.path)
    return Misfit(("template",), f"its field account.{field}: {misfit.expected}")
