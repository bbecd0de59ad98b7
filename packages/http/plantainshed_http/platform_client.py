"""Client for the HTTP API of the platform: the object store and the VM list.

======== =============================== =========================================
method   path                            meaning
======== =============================== =========================================
GET      ``/objects/KIND``               all objects of a kind
GET      ``/objects/KIND/NAME``          one object; its version is the ``ETag``
GET      ``/objects/KIND/NAME?not=N``    waits until the version is not N
PUT      ``/objects/KIND/NAME``          ``If-Match: "N"`` or ``If-None-Match: *``
GET      ``/vms``                        the list of VMs
======== =============================== =========================================

``&wait=S`` limits a wait to S seconds; the status is 304 if nothing has changed
until then. Error statuses: 412 if the condition of a write fails, 404 if the
object does not exist, 503 during an outage. After a write, 503 means that nothing was
changed; any other status from 500 on leaves it unknown.
"""

import base64
import json

import trio

from plantainshed_coordination.errors import (
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from plantainshed_coordination.platform import ABSENT, ListedVm, StoredObject

from .client import fetch
from .errors import ConnectFailed, HttpError

CALL_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 60.0
WATCH_MARGIN_S = 5.0
STATUS_NOT_FOUND = 404
STATUS_NOT_MODIFIED = 304
STATUS_PRECONDITION_FAILED = 412
STATUS_SERVER_ERROR = 500
STATUS_OUTAGE = 503


class HttpPlatform:
    """The `Platform` protocol, implemented with requests to the HTTP API.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    """

    def __init__(self, address: str):
        self.address = address

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, or raise `ObjectMissing`."""
        head, body = await self._read(f"/objects/{kind}/{name}", CALL_TIMEOUT_S)
        return _make_object(kind, name, head, body)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Write an object if it has the expected version; return its new version."""
        if expected_version == ABSENT:
            condition = (b"if-none-match", b"*")
        else:
            condition = (b"if-match", b'"%d"' % expected_version)
        path = f"/objects/{kind}/{name}"
        try:
            head, body = await fetch(
                self.address, "PUT", path, [condition], value, CALL_TIMEOUT_S
            )
        except ConnectFailed as error:
            raise PlatformUnavailable(str(error)) from error
        except HttpError as error:
            # The request may have reached the platform; only the response is known
            # to be lost.
            raise OutcomeUnknown(f"PUT {path}: {error}") from error
        if head.status == STATUS_PRECONDITION_FAILED:
            raise VersionConflict(f"{kind}/{name} is not at version {expected_version}")
        if head.status >= STATUS_SERVER_ERROR and head.status != STATUS_OUTAGE:
            raise OutcomeUnknown(f"PUT {path}: {head.status}")
        _require_success(head, path, body)
        return _parse_version(head)

    async def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""
        _, body = await self._read(f"/objects/{kind}", CALL_TIMEOUT_S)
        return [
            StoredObject(
                kind, item["name"], item["version"], base64.b64decode(item["value"])
            )
            for item in json.loads(body)
        ]

    async def wait_for_change(
        self, kind: str, name: str, known_version: int
    ) -> StoredObject:
        """Wait until the object's version differs from the known one; return it."""
        path = f"/objects/{kind}/{name}?not={known_version}&wait={WATCH_TIMEOUT_S:g}"
        while True:
            head, body = await self._read(path, WATCH_TIMEOUT_S + WATCH_MARGIN_S)
            if head.status != STATUS_NOT_MODIFIED:
                return _make_object(kind, name, head, body)
            await trio.lowlevel.checkpoint()

    async def list_vms(self) -> list[ListedVm]:
        """Return the platform's list of live and leaving VMs, which may lag."""
        _, body = await self._read("/vms", CALL_TIMEOUT_S)
        return [ListedVm(item["vm"], item["leaving"]) for item in json.loads(body)]

    async def _read(self, path, timeout_s):
        try:
            head, body = await fetch(self.address, "GET", path, timeout_s=timeout_s)
        except HttpError as error:
            raise PlatformUnavailable(f"GET {path}: {error}") from error
        if head.status != STATUS_NOT_MODIFIED:
            _require_success(head, path, body)
        return head, body


def _make_object(kind, name, head, body) -> StoredObject:
    return StoredObject(kind, name, _parse_version(head), body)


def _parse_version(head) -> int:
    return int((head.header(b"etag") or '"0"').strip('"'))


def _require_success(head, path, body):
    if head.status == STATUS_NOT_FOUND:
        raise ObjectMissing(path)
    if head.status >= 300:
        text = body.decode("utf-8", "replace").strip()
        raise PlatformUnavailable(f"{path}: {head.status} {text}")
