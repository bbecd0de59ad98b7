"""The console's HTTP server."""

from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

import trio

from plantainshed_coordination.addresses import split_address
from plantainshed_coordination.errors import CoordinationError
from plantainshed_http.server import Exchange, Stopping, serve_http
from plantainshed_model.errors import ModelError

from ..context import OperatorContext, open_context
from ..errors import BadUsage, OperatorError
from ..report.page import report_html
from ..settings import OperatorSettings
from . import actions, pages
from .sessions import OperatorSession, Sessions

MAX_FORM_BYTES = 64 * 1024
STYLE = (Path(__file__).parent / "style.css").read_bytes()
HTML = (b"content-type", b"text/html; charset=utf-8")
NO_STORE = (b"cache-control", b"no-store")
CONTENT_SECURITY_POLICY = (
    b"content-security-policy",
    b"default-src 'none'; style-src 'self' 'unsafe-inline'; img-src data:; "
    b"form-action 'self'; frame-ancestors 'none'",
)
PAGE_HEADERS = [HTML, NO_STORE, CONTENT_SECURITY_POLICY]


async def run_console(settings: OperatorSettings):
    """Serve the console until cancelled."""
    if not settings.console_password:
        raise BadUsage(
            "[console] password_file: the console requires a password for logins"
        )
    host, port = split_address(settings.console_listen)
    listeners = await trio.open_tcp_listeners(port, host=host)
    async with open_context(settings) as context:
        print(f"console on http://{settings.console_listen}/", flush=True)
        await serve_http(Console(context).handle, listeners, Stopping())


class Console:
    """Request handler of the console."""

    def __init__(self, context: OperatorContext):
        self.context = context
        self.sessions = Sessions(context.settings.console_password)

    async def handle(self, exchange: Exchange):
        """Answer one request."""
        url = urlsplit(exchange.request.target)
        session = self.sessions.find(exchange.request.header(b"cookie"))
        if url.path == "/style.css":
            await exchange.reply(200, [(b"content-type", b"text/css")], STYLE)
        elif url.path == "/login" and exchange.request.method == "POST":
            await self._log_in(exchange)
        elif session is None:
            await exchange.reply(200, PAGE_HEADERS, pages.login())
        elif exchange.request.method == "POST":
            await self._handle_post(exchange, session, url.path.strip("/"))
        else:
            query = dict(parse_qsl(url.query))
            await self._reply_page(exchange, session, url.path.strip("/"), query)

    async def _log_in(self, exchange: Exchange):
        form = await _read_form(exchange)
        cookie = await self.sessions.log_in(
            form.get("operator", "").strip(), form.get("password", "")
        )
        if cookie is None:
            page = pages.login("Wrong password.")
            await exchange.reply(403, PAGE_HEADERS, page)
            return
        headers = [(b"location", b"/"), (b"set-cookie", cookie.encode())]
        await exchange.reply(303, headers)

    async def _reply_page(
        self, exchange, session, name: str, query: dict, status=200, **extra
    ):
        context = self._context_of(session)
        try:
            body = await self._render_page(context, session, name, query, extra)
        except (OperatorError, ModelError, CoordinationError) as error:
            body = pages.render(
                "problem.html", session, active_path=name, problem=str(error)
            )
            status = 503
        if body is None:
            body = pages.render(
                "problem.html",
                session,
                active_path=name,
                problem="Page not found.",
            )
            status = 404
        await exchange.reply(status, PAGE_HEADERS, body)

    async def _render_page(self, context, session, name: str, query: dict, extra):
        if name == "":
            return await pages.overview(context, session, **extra)
        if name == "keys":
            return await pages.keys(context, session, **extra)
        if name == "history":
            return await pages.changes(context, session, **extra)
        if name == "report":
            return await report_html(context)
        if pages.is_item_page(name):
            return await pages.items(
                context, session, name, query.get("name", ""), **extra
            )
        return None

    async def _handle_post(self, exchange, session: OperatorSession, path: str):
        form = await _read_form(exchange)
        if not self.sessions.is_form_token_valid(session, form):
            body = pages.render(
                "problem.html",
                session,
                active_path=None,
                problem="This form is not from your session. Nothing was changed.",
            )
            await exchange.reply(403, PAGE_HEADERS, body)
            return
        name, _, action = path.partition("/")
        try:
            result = await self._run_action(
                self._context_of(session), name, action, form
            )
        except (OperatorError, ModelError, CoordinationError) as error:
            typed = form if pages.is_item_page(name) else None
            extra = {"typed": typed} if typed else {}
            await self._reply_page(
                exchange, session, name, {}, 409, problem=str(error), **extra
            )
            return
        await self._reply_page(
            exchange, session, name, {}, message=result.message, secret=result.secret
        )

    async def _run_action(
        self, context, name: str, action: str, form
    ) -> actions.ActionResult:
        if (name, action) == ("keys", "issue"):
            return await actions.issue_key(context, form)
        if (name, action) == ("keys", "withdraw"):
            return await actions.withdraw_key(context, form)
        if (name, action) == ("drains", "end"):
            return await actions.end_drain(context, form)
        if pages.is_item_page(name) and action == "save":
            return await actions.save_item(context, name, form)
        raise BadUsage(f"there is no action /{name}/{action}")

    def _context_of(self, session: OperatorSession) -> OperatorContext:
        return self.context.with_operator(session.operator)


async def _read_form(exchange: Exchange) -> dict[str, str]:
    body = await exchange.read_body(MAX_FORM_BYTES)
    return dict(parse_qsl(body.decode("utf-8", "replace"), keep_blank_values=True))
