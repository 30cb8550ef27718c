/** The soak of one more seed. */
import { registerShortSoak } from "../soak/shortSoak.js";

registerShortSoak(22);
