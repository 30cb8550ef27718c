/** The platform's list of boxes. It lags: a box may have left long before the list says so. */
export interface BoxList {
    readonly leaving: readonly string[];
    readonly gone: readonly string[];
}

export abstract class MembershipSource {
    /** Reads the list. Rejects when the platform does not answer. */
    abstract read(): Promise<BoxList>;
}

/** For deployments whose platform has no list. */
export class NoMembership extends MembershipSource {
    override read(): Promise<BoxList> {
        return Promise.resolve({ leaving: [], gone: [] });
    }
}
