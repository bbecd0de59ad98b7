"""Conversion between items of the document and form fields."""

from attrs import fields, frozen

from plantainshed_model.document import (
    Drain,
    DrainKind,
    Pool,
    Shift,
    ShiftState,
    Target,
    Workspace,
)
from plantainshed_model.errors import Fault, InvalidDocument

KINDS = {
    "workspaces": Workspace,
    "pools": Pool,
    "targets": Target,
    "shifts": Shift,
    "drains": Drain,
}
LABELS = {
    "rate": "requests per second, whole fleet",
    "burst": "requests at once, whole fleet",
    "offline_limit_s": "seconds that keys stay valid in an isolated domain",
    "prefix": "path prefix, such as /prenota",
    "slots": "concurrent requests per target",
    "connections": "connections per target, whole fleet",
    "probe_path": "path of the health check",
    "timeout_s": "default request timeout in seconds",
    "service_time_s": "expected service time in seconds",
    "ramp_s": "seconds until a new or returning target gets its full share",
    "address": "IP:PORT",
    "cap": "limit of moved requests per second",
    "state": "running, stopped or reversed",
    "kind": "target, vm or failure_domain",
}


@frozen
class FormField:
    """One field of a form.

    Parameters
    ----------
    name, label, value : str
    choices : tuple of str
        The allowed values; empty for free text.
    """

    name: str
    label: str
    value: str
    choices: tuple[str, ...] = ()


def form_fields(kind: str, values: dict[str, str], document) -> list[FormField]:
    """Return the form fields for one kind of item, filled with ``values``."""
    return [
        FormField(
            attribute.name,
            LABELS.get(attribute.name, attribute.name.replace("_", " ")),
            values.get(attribute.name, _default(attribute)),
            _choices(attribute.name, document),
        )
        for attribute in fields(KINDS[kind])
    ]


def form_values(item) -> dict[str, str]:
    """Return an item's fields formatted as form input."""
    return {
        attribute.name: _format_value(getattr(item, attribute.name))
        for attribute in fields(type(item))
    }


def parse_item(kind: str, form: dict[str, str]):
    """Create an item from form input.

    Raises
    ------
    InvalidDocument
        With all fields whose input is not valid.
    """
    values, faults = {}, []
    for attribute in fields(KINDS[kind]):
        typed = form.get(attribute.name, "").strip()
        try:
            values[attribute.name] = _convert(attribute.type, typed)
        except ValueError:
            path = f"{kind}[{form.get('name', '')}].{attribute.name}"
            faults.append(
                Fault(path, f"{typed!r} must be {_describe_type(attribute.type)}")
            )
    if faults:
        raise InvalidDocument(faults)
    return KINDS[kind](**values)


def _convert(field_type, typed: str):
    return field_type(typed)


def _describe_type(field_type) -> str:
    if field_type in (int, float):
        return "a number"
    if field_type in (ShiftState, DrainKind):
        return "one of " + ", ".join(field_type)
    return "text"


def _format_value(value) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)


def _default(attribute) -> str:
    default = attribute.default
    return _format_value(default) if isinstance(default, str | int | float) else ""


def _choices(name: str, document) -> tuple[str, ...]:
    if name in ("from_region", "to_region"):
        return tuple(region.name for region in document.regions)
    if name == "pool":
        return tuple(pool.name for pool in document.pools)
    if name == "failure_domain":
        return tuple(domain.name for domain in document.failure_domains)
    if name == "state":
        return tuple(ShiftState)
    if name == "kind":
        return tuple(DrainKind)
    return ()
