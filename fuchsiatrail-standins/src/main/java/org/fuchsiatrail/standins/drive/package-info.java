/** Drives routers and stand-ins together on virtual time, with faults. */
package org.fuchsiatrail.standins.drive;
