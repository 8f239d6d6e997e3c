/** The stand-ins as processes that speak HTTP. */
package org.fuchsiatrail.standins.server;
