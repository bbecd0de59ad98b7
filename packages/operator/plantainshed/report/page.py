"""Rendering of the report as text, JSON or HTML."""

import json
from pathlib import Path

from attrs import asdict
from jinja2 import Environment, FileSystemLoader, select_autoescape

from ..context import OperatorContext
from .gather import Report, gather

FORMATS = ("text", "json", "html")
DEFAULT_HOURS = 24.0
environment = Environment(
    loader=FileSystemLoader(Path(__file__).parent),
    autoescape=select_autoescape(["html"]),
    trim_blocks=True,
    lstrip_blocks=True,
)


async def report_as(context: OperatorContext, format: str, hours: float) -> str:
    """Return the report in one of `FORMATS`."""
    report = await gather(context, hours)
    if format == "json":
        return json.dumps(_json_fields(report), indent=2) + "\n"
    return _render(f"report.{'html' if format == 'html' else 'txt'}", report)


async def report_html(context: OperatorContext) -> bytes:
    """Return the report as an HTML page for the console."""
    return (await report_as(context, "html", DEFAULT_HOURS)).encode()


def _json_fields(report: Report) -> dict:
    fields = asdict(report)
    fields["refused_within_rate"] = report.refused_within_rate()
    fields["served_shares"] = report.served_shares()
    return fields


def _render(template: str, report: Report) -> str:
    return environment.get_template(template).render(report=report)
