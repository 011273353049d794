"""Accepts requests: finds their routes and who sent them."""

import datetime

from magnoliawood.accounts import authentication
from magnoliawood.core import errors
from magnoliawood.routes import configuration as configurations
from magnoliawood.routes import table as tables
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.platform import requests

# Retry delay while the configuration or the upstreams are not known yet.
START_RETRY_AFTER = datetime.timedelta(milliseconds=500)


class JobFactory:
    """Makes the jobs of requests that this gateway may serve.

    :param quarantine: requests that crash upstreams
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        quarantine: quarantines.Quarantine,
    ) -> None:
        self._cluster_view = cluster_view
        self._quarantine = quarantine

    @property
    def is_ready(self) -> bool:
        """Whether all is known that decides where requests may run."""
        return self._cluster_view.is_ready and self._quarantine.is_loaded

    def make(
        self,
        request: callers.CallerRequest,
        metadata: requests.RequestMetadata,
        responder: callers.Responder,
        is_program_known: bool,
    ) -> jobs.Job:
        """Return the job of a request that may be served.

        :param is_program_known: whether a turn of its program has been served
        :raises MagnoliawoodError: if the request is refused
        """
        table = self._cluster_view.table
        if table is None or not self.is_ready:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                'configuration, upstreams or crashes not received yet',
                retry_after=START_RETRY_AFTER,
            )
        if not metadata.request_id:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST, 'the request has no id'
            )
        route = table.find(metadata.host, request.path)
        if route is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, 'no route matches the request'
            )
        identity = self._identify(table, route, metadata)
        time_left = route.timeout
        if metadata.time_left is not None:
            time_left = min(metadata.time_left, time_left)
        fingerprints = request_fingerprints.fingerprints_of(request, metadata)
        self._quarantine.check(fingerprints)
        return jobs.Job(
            request,
            metadata,
            responder,
            route,
            tables.pick_service(route, jobs.hash_point(metadata)),
            request.arrived + time_left,
            fingerprints,
            table,
            is_program_known=is_program_known,
            identity=identity,
        )

    def _identify(
        self,
        table: tables.RouteTable,
        route: configurations.Route,
        metadata: requests.RequestMetadata,
    ) -> authentication.Identity | None:
        """Return who sent a request; ``None`` if no accounts are declared.

        :raises MagnoliawoodError: if the key is unknown, or may have been
            taken away
        """
        identity = authentication.authenticate(
            table.accounts,
            route.is_public,
            metadata.key_digest,
            not self._cluster_view.outage.is_reachable,
        )
        if identity is not None and identity.account is not None:
            self._cluster_view.revocation.check()
        return identity
