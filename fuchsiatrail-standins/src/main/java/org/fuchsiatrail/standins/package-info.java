/** Stand-ins for engines, services and the platform, for tests, measurements and the demo. */
package org.fuchsiatrail.standins;
