/** Rules by which the instances divide a limit of requests per second of one upstream. */

export const PermitRole = {
  allocator: 'allocator',
  standby: 'standby',
  /** Uses its own part and hands out no permits. */
  independent: 'independent',
  /** Uses its own part as all others do, because the limit is large for each instance. */
  divided: 'divided'
} as const
export type PermitRole = typeof PermitRole[keyof typeof PermitRole]

export interface PermitRules {
  /** Roles of the instances that are asked, in order. */
  askedRoles: readonly PermitRole[]
  /**
   * Fraction that each role uses of its part: that of the data centre for an allocator and a standby, that of the instance
   * for the others.
   */
  fractions: Readonly<Record<PermitRole, number>>
  /** Milliseconds of unused slots that may be made up for. */
  credit: number
  /** Longest time in milliseconds after which a permit that has become valid is still used. */
  validity: number
}

/** Limits that upstreams name. They may be exceeded by half over several seconds. */
export const NAMED_LIMIT_RULES: PermitRules = {
  askedRoles: [PermitRole.allocator, PermitRole.standby],
  fractions: { allocator: 1, standby: 0.5, independent: 1, divided: 1 },
  credit: 250,
  validity: Infinity
}

/**
 * The limit of cold upstreams, which holds in every second. Allocators and all instances that do not reach theirs use 1.3
 * of it together; 0.2 of the permitted 1.5 and the 5 further requests are left for the slots of several instances that
 * fall into the same second, for the credit and for late timers. A standby would add to what its allocator hands out.
 */
export const COLD_LIMIT_RULES: PermitRules = {
  askedRoles: [PermitRole.allocator],
  fractions: { allocator: 0.9, standby: 0.4, independent: 0.4, divided: 0.9 },
  credit: 50,
  validity: 100
}
