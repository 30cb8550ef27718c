/** Parameters of the token amounts that a router requests, may commit and holds back. */
export interface LocalTokenBudgetOptions {
    /** Duration of demand that a grant should cover, in milliseconds; should exceed the usual length of a partition. */
    readonly horizonMs: number;
    /** Maximum share of an account's remaining tokens that all routers together hold, as far as a router can tell. */
    readonly mostHeldPart: number;
    /** Share of the prepaid tokens that all routers together request before their demand is known. */
    readonly firstPart: number;
    /** Half-life of the demand average, in milliseconds. */
    readonly demandHalfLifeMs: number;
    /** Duration of demand that may be committed at once between two reports, in milliseconds. */
    readonly burstMs: number;
    /** Ratio of the rate at which a grant becomes available without an answered report to the demand. */
    readonly openingFactor: number;
    /**
     * Time without an answer after which the whole grant is available, in milliseconds: by then the router is certainly
     * partitioned.
     */
    readonly wholeAfterMs: number;
    /** Duration of the router's own demand that it does not lend to others, in milliseconds. */
    readonly lendReserveMs: number;
    /** Share of the demand of more urgent ranks that a rank leaves unreserved while the grant cannot be refilled. */
    readonly rankReservePart: number;
    /**
     * Share of the prepaid tokens that may be written off before lower ranks always leave tokens for more urgent ones.
     */
    readonly writtenOffPart: number;
    /** Duration of the demand of more urgent ranks that lower ranks leave unreserved from then on, in milliseconds. */
    readonly shortReserveMs: number;
    /** Time without an answer after which a router counts as partitioned, in milliseconds. */
    readonly outOfContactMs: number;
    /** Maximum ratio of the tokens kept beyond those committed to the tokens wanted; the rest is given back. */
    readonly keepFactor: number;
    /**
     * Interval after which an unchanged account is reported again, in milliseconds, to learn how many tokens remain for
     * all routers.
     */
    readonly refreshMs: number;
    /** Relative change of the tokens wanted of an account that causes an earlier report. */
    readonly wantedChangePart: number;
}
