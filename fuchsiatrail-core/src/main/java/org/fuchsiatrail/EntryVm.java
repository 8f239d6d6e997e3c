package org.fuchsiatrail;

/**
 * An entry VM as the platform lists it: a small machine that runs one router process.
 *
 * @param id the id of the entry VM
 * @param failureDomain the failure domain of the entry VM
 * @param address the IP address and port on which its router accepts connections from peers
 * @param leaving whether the platform is about to remove the entry VM
 */
public record EntryVm(EntryVmId id, FailureDomain failureDomain, String address, boolean leaving) {}
