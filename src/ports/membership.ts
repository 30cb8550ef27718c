/** The platform's list of boxes. It is delayed: a box may have left long before the list shows it. */
export interface BoxList {
    readonly leaving: readonly string[];
    readonly gone: readonly string[];
}

export abstract class MembershipSource {
    /** Fetches the list. Rejects if the platform does not respond. */
    abstract read(): Promise<BoxList>;
}

/** For deployments without a membership list. */
export class NoMembership extends MembershipSource {
    override read(): Promise<BoxList> {
        return Promise.resolve({ leaving: [], gone: [] });
    }
}
