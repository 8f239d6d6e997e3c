/** The HTTP server for operators: operator requests, health, readiness and metrics. */
package org.fuchsiatrail.daemon.operators;
