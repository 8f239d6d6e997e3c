/** Reading and validation of the settings file. */
package org.fuchsiatrail.daemon.settings;
