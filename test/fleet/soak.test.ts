/** The soak of a seed that once found something. */
import { registerShortSoak } from "../soak/shortSoak.js";

registerShortSoak(3);
