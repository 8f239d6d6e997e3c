/** The router process: wires the core to its network clients, servers and logs. */
package org.fuchsiatrail.daemon;
