"""A small configuration: one engine service, one plain service, one tenant."""

HOST = "h.example"
KEY = "k1kkkkkkkkkkkkkkkkkk"


def configuration(version=1, prepaid=50_000_000, limits=None, routes=None, keys=(KEY,)):
    return {
        "version": version,
        "routes": routes or [
            route("guide", "/guide/", "llm", "streaming", 12000, sticky=True),
            route("lookup", "/lookup/", "llm", "streaming", 12000, sticky=True,
                  resume=True, attempts=2),
            route("ticket", "/ticket/", "desk", "non_idempotent", 4000),
            route("loan", "/loan/", "desk", "idempotent", 4000, attempts=2),
        ],
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConnections": 370,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCacheTokens": 396067, "kvTokenBytes": 18432,
                        "linkMbps": 280000.0, "moves": True, "backups": True,
                        "stride": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                        "handleS": 5.0, "models": [{"name": "m"}]}},
            {"name": "desk", "healthPath": "/health", "maxConnections": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t1", "apiKeys": list(keys), "priority": 1,
                     "prepaid": prepaid}],
    }


def route(name, prefix, service, kind, timeout_ms, sticky=False, resume=False, attempts=1):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": False,
            "sticky": sticky, "canResume": resume, "gapAimMs": 500}


def fields(request_id, deadline_ms=4000, key=KEY, extra=()):
    return [("Host", HOST), ("X-Request-Id", request_id),
            ("X-Request-Deadline-Ms", str(deadline_ms)),
            ("Authorization", "Bearer " + key)] + list(extra)


def prompt(tokens_in, tokens_out, parts):
    """The fields of a request for a model; `parts`: [(id, tokens)]."""
    listed = ",".join("%x:%d" % it for it in parts)
    return [("X-Model", "m"), ("X-Token-Usage", "%d,%d" % (tokens_in, tokens_out)),
            ("X-Prompt-Prefix", listed)]
