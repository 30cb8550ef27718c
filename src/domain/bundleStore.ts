/** Replicated storage of the accepted bundle with the highest revision. */
import type { PutBundleCommand } from "./bundleCommands.js";

export interface StoredBundle {
    readonly revision: number;
    /** The operator's original text. */
    readonly text: string;
}

/** Outcome of storing a bundle. */
export interface BundleResult {
    readonly type: "bundle";
    /** Whether this bundle has taken effect. */
    readonly changed: boolean;
    /** The active revision. */
    readonly revision: number;
}

export class BundleStore {
    private current: StoredBundle | undefined;

    /** Stores a bundle if its revision is higher than the current one. */
    applyPut(command: PutBundleCommand): BundleResult {
        if (this.current !== undefined && command.revision <= this.current.revision) {
            return { type: "bundle", changed: false, revision: this.current.revision };
        }
        this.current = { revision: command.revision, text: command.text };
        return { type: "bundle", changed: true, revision: command.revision };
    }

    /** Returns the active bundle, or undefined if none was stored. */
    tryGet(): StoredBundle | undefined {
        return this.current;
    }

    /** Restores the state of a snapshot. */
    load(bundle: StoredBundle | undefined): void {
        this.current = bundle;
    }
}
