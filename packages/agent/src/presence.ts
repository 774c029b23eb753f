/** Which members count as part of the fleet. */

import type {MemberView} from '@egretwing/core';

/** True unless the member is believed dead or has left; a suspected one is still there. */
export const isPresent = ({status}: MemberView): boolean => status === 'alive' || status === 'suspect';
