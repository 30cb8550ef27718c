/** What one controller has told this router of upstreams: how far, and of which of them it says that they are heard. */
import type { ChangeCursor, UpstreamNews } from "../../domain/upstreamChanges.js";

/** When an upstream was heard at the latest, by a controller's word. */
export interface HeardUpstream {
    readonly id: string;
    readonly ageMs: number;
}

export class FollowedUpstreams {
    private cursor: ChangeCursor | undefined;
    /** Ids of the upstreams that the controller knows. It says nothing of others by not naming them. */
    private readonly known = new Set<string>();

    /** `unheardMs`: silence from which the controller names an upstream as unheard. */
    constructor(readonly unheardMs: number) {}

    /** How far the controller has told; undefined before its first word. */
    tryGetCursor(): ChangeCursor | undefined {
        return this.cursor;
    }

    /** Takes the controller's news. Answers when each of the upstreams that it knows was heard. */
    take({ cursor, isWhole, changed, unheard }: UpstreamNews): HeardUpstream[] {
        if (isWhole) {
            this.known.clear();
        }
        this.cursor = cursor;
        for (const { registration } of changed) {
            if (registration.state === "gone") {
                this.known.delete(registration.id);
            }
            else {
                this.known.add(registration.id);
            }
        }
        const ages = new Map(unheard.map(({ id, ageMs }) => [id, ageMs]));
        return [...this.known].map(id => ({ id, ageMs: ages.get(id) ?? this.unheardMs }));
    }
}
