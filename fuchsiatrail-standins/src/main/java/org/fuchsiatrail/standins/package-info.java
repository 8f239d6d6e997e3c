/** Stand-ins for engines, services and the platform's store, used by tests, measurements and the demo. */
package org.fuchsiatrail.standins;
