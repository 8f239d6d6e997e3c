package org.fuchsiatrail;

/**
 * One entry VM as the platform lists it.
 *
 * @param id its name
 * @param failureDomain its failure domain
 * @param address the IP address and port on which its router speaks to peers
 * @param leaving whether the platform is about to take it away
 */
public record EntryVm(EntryVmId id, FailureDomain failureDomain, String address, boolean leaving) {}
