/** How a router's purse of prepaid tokens sizes what it asks for, opens and keeps back (see purseAccount.ts). */
export interface PrepaidPurseOptions {
    /** Demand that a grant should cover, in milliseconds: longer than a router is usually cut off. */
    readonly horizonMs: number;
    /** Part of what is left of an account, as far as a router knows, that all routers together hold at the most. */
    readonly mostHeldPart: number;
    /** Part of the prepaid tokens that all routers together ask for before they know the demand. */
    readonly firstPart: number;
    /** How fast the measured demand forgets, in milliseconds. */
    readonly demandHalfLifeMs: number;
    /** Demand that may be committed at once between two reports, in milliseconds. */
    readonly burstMs: number;
    /** How much faster than the demand a grant opens while no report is answered. */
    readonly openingFactor: number;
    /** Silence after which all of a grant is open, in milliseconds: by then the router is surely cut off. */
    readonly wholeAfterMs: number;
    /** Own demand that is kept back from other routers, in milliseconds. */
    readonly lendReserveMs: number;
    /** Part of the more urgent ranks' demand that a rank leaves them while the grant cannot be refilled. */
    readonly rankReservePart: number;
    /** Part of the prepaid tokens that may be written off before ranks leave tokens to more urgent ones for good. */
    readonly writtenOffPart: number;
    /** More urgent ranks' demand that a rank leaves them from then on, in milliseconds. */
    readonly shortReserveMs: number;
    /** A router whose report was not answered for so long counts as cut off, in milliseconds. */
    readonly outOfContactMs: number;
    /** What a grant may be above what is wanted before the rest is given back. */
    readonly keepFactor: number;
    /**
     * An account of which nothing has changed is reported after so long all the same, in milliseconds: the answer tells
     * what is left of it for all routers.
     */
    readonly refreshMs: number;
    /** Part by which what is wanted of an account has to change for it to be reported sooner. */
    readonly wantedChangePart: number;
}
