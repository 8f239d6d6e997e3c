/** Reading and checking the settings. */
package org.fuchsiatrail.daemon.settings;
