"""Prints the tables that a proxy would read from its folder."""

from __future__ import annotations

import math
from pathlib import Path

import click

from ..controlplane.proxy_resources import CONTROLLERS_RESOURCE
from ..files.swap import read_group
from ..xds import forms
from ..xds.tables import (
    level_of,
    lines,
    match_kind_and_path,
    read_clusters,
    read_routes,
    read_tables,
    tries_of,
)


def print_proxy(folder: Path) -> None:
    """Prints the routes and tables in a proxy's folder.

    Raises:
        FileNotFoundError: nothing has been sent to the proxy.
        OSError: a file cannot be read.
        MessageFormatError: a file is malformed.
        KeyError: a file is missing, or a route names a cluster that does not exist.
    """
    version, files = read_group(str(folder))
    clusters: dict[str, forms.Cluster] = {}
    if "cds.json" in files:
        clusters = {cluster.name: cluster for cluster in read_clusters(files["cds.json"])[1]}
    response, tables = read_tables(files["eds.json"])
    click.echo(f"{folder.name}: {version}, version {response.version_info}")
    if "rds.json" in files:
        for route in read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes:
            _print_route(route, clusters)
    for table in tables:
        _print_table(table)


def _print_route(route: forms.Route, clusters: dict[str, forms.Cluster]) -> None:
    path = " ".join(match_kind_and_path(route.match)).removeprefix("below ")
    if route.direct_response is not None:
        click.echo(f"  {path} -> {route.direct_response.status}")
        return
    table_name = clusters[route.route.cluster].eds_cluster_config.service_name
    admitted_fraction, rate_per_second = level_of(route.typed_per_filter_config)
    retry_mode = tries_of(route.route.retry_policy)
    limit = f"admitted fraction {admitted_fraction:g}"
    if not math.isinf(rate_per_second):
        limit += f", {rate_per_second:.2f} requests/s"
    click.echo(f"  {path} -> {table_name}: {limit}, retry mode {retry_mode}")


def _print_table(table: forms.ClusterLoadAssignment) -> None:
    click.echo(f"  table {table.cluster_name}")
    if table.cluster_name == CONTROLLERS_RESOURCE:
        click.echo("    redirected: this controller is draining")
        return
    for endpoint, address, port, zone, weight, is_draining in lines(table):
        state = "DRAINING" if is_draining else "open"
        click.echo(f"    {endpoint:24} {address}:{port:<6} {zone:10} {weight:8.4f} {state}")
