/** The replicated bundle: the one with the highest revision that was ever accepted. */
import type { PutBundleCommand } from "./bundleCommands.js";

/** A declared bundle as it is kept. */
export interface StoredBundle {
    readonly revision: number;
    /** As the operator sent it. */
    readonly text: string;
}

/** What putting a bundle came to. */
export interface BundleResult {
    readonly type: "bundle";
    /** Whether this bundle is the one in force now. */
    readonly changed: boolean;
    /** The revision in force. */
    readonly revision: number;
}

export class BundleStore {
    private held: StoredBundle | undefined;

    /** Takes a bundle where its revision is higher than the one held; anything else changes nothing. */
    applyPut(command: PutBundleCommand): BundleResult {
        if (this.held !== undefined && command.revision <= this.held.revision) {
            return { type: "bundle", changed: false, revision: this.held.revision };
        }
        this.held = { revision: command.revision, text: command.text };
        return { type: "bundle", changed: true, revision: command.revision };
    }

    /** The bundle in force; undefined before the first one. */
    tryGet(): StoredBundle | undefined {
        return this.held;
    }

    /** Takes what a snapshot holds. */
    load(bundle: StoredBundle | undefined): void {
        this.held = bundle;
    }
}
