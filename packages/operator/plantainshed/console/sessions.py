"""Login sessions, and their tokens against cross-site request forgery (CSRF)."""

import hmac
import secrets
from http.cookies import CookieError, SimpleCookie

import trio
from attrs import define

COOKIE = "plantainshed_session"
TOKEN_BYTES = 24
LIFETIME_S = 8 * 3600.0
FAILED_LOGIN_DELAY_S = 1.0


@define
class OperatorSession:
    """One operator's session.

    Parameters
    ----------
    operator : str
        Name that is recorded as the author of changes.
    form_token : str
        CSRF token. Every form that makes a change contains it, so that a page of
        another site cannot submit forms on behalf of the operator.
    expires_at : float
        Time of trio's clock at which the session ends.
    """

    operator: str
    form_token: str
    expires_at: float


class Sessions:
    """The sessions of one console process.

    Parameters
    ----------
    password : str
        Password that operators log in with, from the settings.
    """

    def __init__(self, password: str):
        self.password = password
        self._sessions: dict[str, OperatorSession] = {}

    async def log_in(self, operator: str, password: str) -> str | None:
        """Return the cookie of a new session, or None if the password is wrong."""
        if not hmac.compare_digest(password.encode(), self.password.encode()):
            # Slows down password guessing without delaying other requests.
            await trio.sleep(FAILED_LOGIN_DELAY_S)
            return None
        name = secrets.token_urlsafe(TOKEN_BYTES)
        self._sessions[name] = OperatorSession(
            operator or "operator",
            secrets.token_urlsafe(TOKEN_BYTES),
            trio.current_time() + LIFETIME_S,
        )
        return f"{COOKIE}={name}; HttpOnly; SameSite=Strict; Path=/"

    def find(self, cookie_header: str | None) -> OperatorSession | None:
        """Return the session that a cookie header refers to, if it is still valid."""
        try:
            cookies = SimpleCookie(cookie_header or "")
        except CookieError:
            return None
        cookie = cookies.get(COOKIE)
        session = self._sessions.get(cookie.value) if cookie else None
        if session is None or session.expires_at < trio.current_time():
            return None
        return session

    def is_form_token_valid(
        self, session: OperatorSession, form: dict[str, str]
    ) -> bool:
        """Return whether a form contains the session's CSRF token."""
        return hmac.compare_digest(form.get("form_token", ""), session.form_token)
