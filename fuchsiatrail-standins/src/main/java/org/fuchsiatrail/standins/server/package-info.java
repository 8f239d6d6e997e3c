/** The stand-ins as processes that serve HTTP. */
package org.fuchsiatrail.standins.server;
