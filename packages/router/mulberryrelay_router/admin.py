"""Administration API of a router: JSON over HTTP on a separate listener.

It shows the router's status and lets operators submit and check rules. The load
balancer calls ``/health`` and ``/ready`` without a credential. All other paths need the
bearer credential of an operator, whose name is stored with each change.
"""

import hmac
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from returns.pipeline import is_successful

from mulberryrelay_control.ruleplan import rule_changes, unit_moves
from mulberryrelay_control.rules import (
    MAX_RULES_BYTES,
    RuleSet,
    parse_rules,
    unknown_servers,
)
from mulberryrelay_control.rulestore import (
    MAX_HISTORY,
    RuleStore,
    SubmitFailure,
    SubmitFailureReason,
)
from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import BootId, OperatorName, RulesVersion
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    AdminError,
    MemberList,
    RouterList,
    RouterRulesStatus,
    RouterStatus,
    RulesCheckRequest,
    RulesCheckResponse,
    RulesPlan,
    RulesResponse,
    RulesStatus,
    RulesSubmitRequest,
    RulesSubmitResponse,
)
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import OperatorOptions, Options
from mulberryrelay_kernel.platform import Platform

from .routerrules import RouterRules
from .routingview import RoutingView

# Limit of a request body. JSON needs up to six bytes for one character of a rule file,
# but little more than one for common text, so twice the limit of the text is enough for
# every ordinary file.
ADMIN_BODY_BYTES = 2 * MAX_RULES_BYTES

# Number of versions in a history response without a ``limit`` parameter.
DEFAULT_HISTORY_LENGTH = 20

# Paths that need no credential.
UNAUTHENTICATED_PATHS = frozenset({"/health", "/ready"})
OPERATOR: web.RequestKey[OperatorName] = web.RequestKey("operator", OperatorName)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Body = TypeVar("Body", bound=msgspec.Struct)


class AdminContext(msgspec.Struct, frozen=True):
    """Components and data that the administration API reads or changes."""

    options: Options
    boot_id: BootId
    platform: Platform
    view: RoutingView
    metrics: Metrics
    store: RuleStore
    rules: RouterRules
    list_routers: Callable[[], Awaitable[RouterList | None]]
    """Returns the coordinator's list of routers; None if it is unreachable."""
    notify_rules_submitted: Callable[[RulesVersion], Awaitable[None]]
    """Notifies the coordinator of a committed version."""
    is_ready: Callable[[], bool]


class AdminResponseError(Exception):
    """An error response."""

    def __init__(self, status: int, body: AdminError) -> None:
        super().__init__(body.detail)
        self._status = status
        self._body = body

    @property
    def status(self) -> int:
        return self._status

    @property
    def body(self) -> AdminError:
        return self._body


async def start_admin(context: AdminContext) -> web.AppRunner:
    """Listen on ``instance.admin_port``; the caller cleans the runner up."""
    runner = web.AppRunner(admin_application(context), access_log=None)
    await runner.setup()
    instance = context.options.instance
    await web.TCPSite(runner, instance.host, instance.admin_port).start()
    return runner


def admin_application(context: AdminContext) -> web.Application:
    """Return the HTTP application of the administration API."""
    application = web.Application(
        client_max_size=ADMIN_BODY_BYTES,
        middlewares=[_convert_errors, _authenticate(context.options.operators)],
    )
    for path, handler in _handlers_for_get(context).items():
        application.router.add_get(path, handler)
    for path, handler in _handlers_for_post(context).items():
        application.router.add_post(path, handler)
    return application


def find_operator(
    operators: Sequence[OperatorOptions], credential: str
) -> OperatorName | None:
    """Return the operator with this credential, or None.

    Compares in constant time, and with all operators, so that the response time reveals
    nothing about their credentials.
    """
    presented = credential.encode(errors="surrogateescape")
    matching_operator = None
    for operator in operators:
        if hmac.compare_digest(operator.credential.encode(), presented):
            matching_operator = operator.name
    return matching_operator


def in_force(
    complete: bool, routers: Sequence[RouterRulesStatus]
) -> RulesVersion | None:
    """Return the version that every live router has confirmed, or None if unknown.

    ``complete`` is whether ``routers`` lists every router that may hold a routing
    lease.
    """
    if not complete:
        return None
    versions = [router.version for router in routers if router.lease_left_ms > 0]
    return min(versions, default=None)


# Middleware


@web.middleware
async def _convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert every error to a JSON response."""
    try:
        return await handler(request)
    except AdminResponseError as failure:
        headers = {"WWW-Authenticate": "Bearer"} if failure.status == 401 else None
        return _json_response(failure.body, failure.status, headers)
    except web.HTTPException as error:
        code = error.reason.lower().replace(" ", "-")
        return _json_response(
            AdminError(code, f"{request.method} {request.path}"), error.status
        )
    except Exception as error:
        log_event("admin_failed", path=request.path, failure=repr(error))
        return _json_response(
            AdminError("internal", "the router failed to process the request"), 500
        )


def _authenticate(operators: Sequence[OperatorOptions]) -> Any:
    @web.middleware
    async def authenticate(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in UNAUTHENTICATED_PATHS:
            return await handler(request)
        scheme, _, credential = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not credential:
            raise _error(401, "no-credential", "a bearer credential is required")
        operator = find_operator(operators, credential.strip())
        if operator is None:
            log_event("admin_refused", path=request.path, peer=request.remote)
            raise _error(401, "wrong-credential", "the credential is not valid")
        request[OPERATOR] = operator
        return await handler(request)

    return authenticate


# Handlers


def _handlers_for_get(context: AdminContext) -> dict[str, Handler]:
    async def health(request: web.Request) -> web.Response:
        return _json_response({"status": "ok"})

    async def ready(request: web.Request) -> web.Response:
        is_ready = context.is_ready()
        return _json_response({"ready": is_ready}, 200 if is_ready else 503)

    async def status(request: web.Request) -> web.Response:
        return _json_response(await _router_status(context))

    async def metrics(request: web.Request) -> web.Response:
        return _json_response(
            {
                "classes": context.metrics.summaries(),
                "counters": context.metrics.counters,
            }
        )

    async def rules(request: web.Request) -> web.Response:
        return _json_response(await _stored_rules(context, request))

    async def history(request: web.Request) -> web.Response:
        limit = _integer_parameter(
            request, "limit", DEFAULT_HISTORY_LENGTH, MAX_HISTORY
        )
        rows = await context.store.history(limit)
        if not is_successful(rows):
            raise _store_unavailable()
        return _json_response(rows.unwrap())

    async def assignments(request: web.Request) -> web.Response:
        return _json_response(context.view.assignment)

    async def members(request: web.Request) -> web.Response:
        listed = (await context.platform.instances()).value_or(None)
        return _json_response(MemberList(context.view.servers(), listed))

    return {
        "/health": health,
        "/ready": ready,
        "/status": status,
        "/metrics": metrics,
        "/rules": rules,
        "/rules/history": history,
        "/assignments": assignments,
        "/members": members,
    }


def _handlers_for_post(context: AdminContext) -> dict[str, Handler]:
    async def submit(request: web.Request) -> web.Response:
        body = await _read_body(request, RulesSubmitRequest)
        operator = request[OPERATOR]
        result = await context.store.submit(body.base, body.text, operator, body.file)
        if not is_successful(result):
            failure = result.failure()
            log_event(
                "rules_not_accepted",
                operator=operator,
                base=body.base,
                reason=failure.reason.value,
            )
            raise _submission_error(failure, body.base)
        version = result.unwrap()
        log_event("rules_submitted", operator=operator, version=version)
        await context.notify_rules_submitted(version)
        return _json_response(RulesSubmitResponse(version, operator))

    async def check(request: web.Request) -> web.Response:
        body = await _read_body(request, RulesCheckRequest)
        parsed = parse_rules(body.text, body.file, context.options)
        if not is_successful(parsed):
            return _json_response(RulesCheckResponse(_finding_texts(parsed.failure())))
        warnings = _server_warnings(context, parsed.unwrap(), body.file)
        return _json_response(RulesCheckResponse([], warnings))

    async def plan(request: web.Request) -> web.Response:
        body = await _read_body(request, RulesCheckRequest)
        parsed = parse_rules(body.text, body.file, context.options)
        if not is_successful(parsed):
            raise _invalid_rules_error(parsed.failure())
        return _json_response(await _plan(context, parsed.unwrap(), body.file))

    return {"/rules": submit, "/rules/check": check, "/rules/plan": plan}


async def _router_status(context: AdminContext) -> RouterStatus:
    options, view, rules = context.options, context.view, context.rules
    row = await context.store.current()
    router_list = await context.list_routers() or RouterList([], False)
    return RouterStatus(
        instance=options.instance.name,
        boot_id=context.boot_id,
        tenant=options.tenant,
        data_centre=options.instance.data_centre,
        ready=context.is_ready(),
        lease_left_ms=view.lease_left_ms,
        term=view.term,
        assignment=view.assignment.version,
        servers=len(view.servers()),
        rules=RulesStatus(
            applied=rules.version,
            rejected=rules.rejected,
            stored=row.unwrap() if is_successful(row) else None,
            store_reached=is_successful(row),
            routers=router_list.routers,
            complete=router_list.complete,
            in_force=in_force(router_list.complete, router_list.routers),
        ),
    )


async def _stored_rules(context: AdminContext, request: web.Request) -> RulesResponse:
    if "version" in request.query:
        version = RulesVersion(_integer_parameter(request, "version", 1, 2**31))
        result = await context.store.load_version(version)
    else:
        result = await context.store.load()
    if not is_successful(result):
        raise _store_unavailable()
    document = result.unwrap()
    if document is not None:
        return RulesResponse(document.version, document.text)
    if "version" in request.query:
        raise _error(404, "no-version", f"there is no version {version}")
    return RulesResponse(RulesVersion(0), "")


async def _plan(context: AdminContext, proposed: RuleSet, file: str) -> RulesPlan:
    """Compare proposed rules with the current version in the store.

    This router may not have applied that version yet.
    """
    result = await context.store.load()
    if not is_successful(result):
        raise _store_unavailable()
    document = result.unwrap()
    version = document.version if document else RulesVersion(0)
    text = document.text if document else ""
    current = parse_rules(text, f"rules {version}", context.options)
    if not is_successful(current):
        raise _invalid_rules_error(current.failure())
    rules = current.unwrap()
    return RulesPlan(
        base=version,
        changes=rule_changes(rules, proposed),
        moves=unit_moves(
            rules, proposed, context.view.assignment, context.view.servers()
        ),
        warnings=_server_warnings(context, proposed, file),
    )


def _server_warnings(context: AdminContext, rules: RuleSet, file: str) -> list[str]:
    known = [entry.server for entry in context.view.servers()]
    return _finding_texts(unknown_servers(rules.rules, known, file))


async def _read_body(request: web.Request, body_type: type[Body]) -> Body:
    content = await request.read()
    try:
        return decode_json(content, body_type)
    except msgspec.DecodeError as error:
        raise _error(400, "malformed-body", str(error)) from None


def _integer_parameter(
    request: web.Request, name: str, default: int, highest: int
) -> int:
    text = request.query.get(name, str(default))
    is_number = text.isascii() and text.isdecimal() and len(text) <= 10
    if not is_number or not 1 <= int(text) <= highest:
        detail = f"{name} must be a number from 1 to {highest}"
        raise _error(400, "bad-parameter", detail)
    return int(text)


# Responses


def _json_response(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers=headers,
    )


def _finding_texts(findings: Sequence[Finding]) -> list[str]:
    return [str(finding) for finding in findings]


def _error(status: int, error: str, detail: str) -> AdminResponseError:
    return AdminResponseError(status, AdminError(error, detail))


def _invalid_rules_error(findings: Sequence[Finding]) -> AdminResponseError:
    detail = "the rule file has findings"
    return AdminResponseError(
        422, AdminError("findings", detail, _finding_texts(findings))
    )


def _store_unavailable() -> AdminResponseError:
    return _error(503, "store-unavailable", "the store is unavailable")


def _submission_error(failure: SubmitFailure, base: RulesVersion) -> AdminResponseError:
    if failure.reason is SubmitFailureReason.REJECTED:
        return _invalid_rules_error(failure.findings)
    if failure.reason is SubmitFailureReason.UNAVAILABLE:
        detail = "the store is unavailable; nothing was changed"
        return _error(503, "store-unavailable", detail)
    if failure.reason is SubmitFailureReason.UNKNOWN:
        detail = "the store did not reply; the version may have been committed"
        return _error(504, "unknown", detail)
    detail = f"version {base} is not the current version; nothing was changed"
    return AdminResponseError(
        409,
        AdminError("lost", detail, current=failure.current, diff=failure.diff),
    )
