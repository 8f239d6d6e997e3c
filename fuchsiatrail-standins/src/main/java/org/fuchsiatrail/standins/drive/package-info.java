/** Runs routers and stand-ins together in one thread on virtual time and injects faults. */
package org.fuchsiatrail.standins.drive;
