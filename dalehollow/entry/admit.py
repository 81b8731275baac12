"""Validate a caller's request against the configuration and build a job from it."""

from __future__ import annotations

import hashlib
import json
import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from result import Err, Ok, Result

from dalehollow.config.model import PRIORITIES, Account, Config, Service
from dalehollow.crashes import Fingerprint, list_shared_messages, make_fingerprints
from dalehollow.crashes.chat import CHAT_PATH
from dalehollow.errors import Failure, Reason
from dalehollow.once import make_scope
from dalehollow.protocol import headers as hdr
from dalehollow.verdict import Verdict
from dalehollow.web import HttpRequest

MAX_KEY_CHARS = 200
MAX_DEADLINE_MS = 3_600_000
_MS_PER_S = 1000
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,80}")
_KEY = re.compile(r"[\x21-\x7e]+")


@dataclass(frozen=True)
class Job:
    """Hold an admitted request; `deadline_s` is on this process's monotonic clock."""

    request_id: str
    account: Account
    service: Service
    priority: str
    repeatable: bool
    deadline_s: float
    key: str | None
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @cached_property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the whole request and of the messages others may share."""
        path = self.target.partition("?")[0]
        parts = list_shared_messages(path, self.body)
        return make_fingerprints(path.encode(), self.account.name, self.body, parts)

    @property
    def scope(self) -> str:
        """Return the ownership scope of the key, identical to the one the sidecar computes."""
        return make_scope(self.service.name, self.account.name, self.key)


def read_request_id(req: HttpRequest) -> str:
    """Return the caller's request id if it is well-formed, else a new one."""
    given = req.headers.get(hdr.REQUEST_ID, "")
    return given if _REQUEST_ID.fullmatch(given) else uuid.uuid4().hex


def index_accounts_by_key_digest(cfg: Config) -> dict[str, Account]:
    """Index the client accounts by the SHA-256 digest of their API keys."""
    return {account.key_sha256: account for account in cfg.accounts.values()}


def admit(
    req: HttpRequest,
    request_id: str,
    cfg: Config,
    keys: Mapping[str, Account],
    now_s: float,
) -> Result[Job, Failure]:
    """Admit a request, or reject it naming the offending field, its value and the valid values."""
    account = _find_account(req, keys)
    if isinstance(account, Err):
        return account
    service = _find_service(req, cfg)
    if isinstance(service, Err):
        return service
    priority = _read_priority(req, account.ok_value)
    if isinstance(priority, Err):
        return priority
    deadline_ms = _read_deadline_ms(req, service.ok_value)
    if isinstance(deadline_ms, Err):
        return deadline_ms
    key = _read_key(req)
    if isinstance(key, Err):
        return key
    repeatable = _is_repeatable(req, service.ok_value) and key.ok_value is None
    return Ok(
        Job(
            request_id=request_id,
            account=account.ok_value,
            service=service.ok_value,
            priority=priority.ok_value,
            repeatable=repeatable,
            deadline_s=now_s + deadline_ms.ok_value / _MS_PER_S,
            key=key.ok_value,
            method=req.method,
            target=req.path + (f"?{req.query}" if req.query else ""),
            headers=hdr.keep_end_to_end(req.headers),
            body=req.body,
        )
    )


def _refuse(reason: Reason, message: str) -> Err[Failure]:
    return Err(Failure(reason, Verdict.NOT_RUN, message))


def _find_account(req: HttpRequest, keys: Mapping[str, Account]) -> Result[Account, Failure]:
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return _refuse(Reason.BAD_KEY, "header 'authorization' must be 'Bearer' and a key")
    account = keys.get(hashlib.sha256(token.strip().encode()).hexdigest())
    if account is None:
        return _refuse(
            Reason.BAD_KEY,
            "header 'authorization' contains a key that belongs to no client account",
        )
    return Ok(account)


def _find_service(req: HttpRequest, cfg: Config) -> Result[Service, Failure]:
    if req.path == CHAT_PATH:
        return _find_model_service(req, cfg)
    for service in cfg.services.values():
        prefix = service.path_prefix
        if prefix and (req.path == prefix or req.path.startswith(prefix.rstrip("/") + "/")):
            return _check_operation(req, service)
    prefixes = [s.path_prefix for s in cfg.services.values() if s.path_prefix]
    choices = ", ".join(sorted([CHAT_PATH, *prefixes]))
    return _refuse(Reason.UNKNOWN_ROUTE, f"path {req.path!r} is unknown; choices: {choices}")


def _find_model_service(req: HttpRequest, cfg: Config) -> Result[Service, Failure]:
    if req.method != "POST":
        return _refuse(
            Reason.METHOD_NOT_ALLOWED, f"method {req.method!r} is not allowed; choices: POST"
        )
    try:
        body = json.loads(req.body)
    except (ValueError, RecursionError) as exc:
        return _refuse(Reason.BAD_REQUEST, f"body is not JSON: {exc}")
    model = body.get("model") if isinstance(body, dict) else None
    models = {m: s for s in cfg.services.values() for m in s.models}
    if not isinstance(model, str) or model not in models:
        choices = ", ".join(sorted(models))
        return _refuse(Reason.UNKNOWN_ROUTE, f"field 'model' is {model!r}; choices: {choices}")
    return Ok(models[model])


def _check_operation(req: HttpRequest, service: Service) -> Result[Service, Failure]:
    """Reject an unlisted method on a path whose methods the configuration lists."""
    listed = [op.method for op in service.operations if op.path == req.path]
    if listed and req.method not in listed:
        choices = ", ".join(sorted(listed))
        return _refuse(
            Reason.METHOD_NOT_ALLOWED, f"method {req.method!r} is not allowed; choices: {choices}"
        )
    return Ok(service)


def _read_priority(req: HttpRequest, account: Account) -> Result[str, Failure]:
    default = account.max_priority if account.max_priority != PRIORITIES[0] else PRIORITIES[1]
    priority = req.headers.get(hdr.PRIORITY, default)
    if priority not in PRIORITIES:
        choices = ", ".join(PRIORITIES)
        return _refuse(
            Reason.BAD_REQUEST, f"header {hdr.PRIORITY!r} is {priority!r}; choices: {choices}"
        )
    if PRIORITIES.index(priority) < PRIORITIES.index(account.max_priority):
        return _refuse(
            Reason.FORBIDDEN,
            f"header {hdr.PRIORITY!r} is {priority!r}; "
            f"account {account.name!r} may use {account.max_priority!r} and below",
        )
    return Ok(priority)


def _read_deadline_ms(req: HttpRequest, service: Service) -> Result[int, Failure]:
    given = req.headers.get(hdr.DEADLINE_MS)
    if given is None:
        return Ok(service.deadline_ms)
    if not given.isascii() or not given.isdigit() or not 0 < int(given[:12]) <= MAX_DEADLINE_MS:
        return _refuse(
            Reason.BAD_REQUEST,
            f"header {hdr.DEADLINE_MS!r} is {given!r}; "
            f"must be milliseconds from now, 1 to {MAX_DEADLINE_MS}",
        )
    return Ok(int(given))


def _read_key(req: HttpRequest) -> Result[str | None, Failure]:
    key = req.headers.get(hdr.IDEMPOTENCY_KEY)
    if key is not None and (len(key) > MAX_KEY_CHARS or not _KEY.fullmatch(key)):
        return _refuse(
            Reason.BAD_REQUEST,
            f"header {hdr.IDEMPOTENCY_KEY!r} is {key[:MAX_KEY_CHARS]!r}; "
            f"must be 1 to {MAX_KEY_CHARS} visible ASCII characters",
        )
    return Ok(key)


def _is_repeatable(req: HttpRequest, service: Service) -> bool:
    """Return whether a request may be sent twice; unlisted unsafe methods may not."""
    if service.kind == "model":
        return True
    for op in service.operations:
        if op.method == req.method and op.path == req.path:
            return op.repeatable
    return req.method in _SAFE_METHODS
